me: 0
listen: "127.0.0.1:0"
ladder: [{rate: "20kB/s", worth: 0.5}]
a: #a
#a: #b & #a
#b: {x: >=1 & <3 | *2, ...}
