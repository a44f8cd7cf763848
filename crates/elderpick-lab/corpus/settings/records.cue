// a comment
#Class: {name: string & !="", aim: duration & >="1ms" | *"1s", seats?: int & >0}
classes: [#Class & {name: "a"}, {name: "b", aim: "2s"}]
log: format: "json"
list: [1, -2.5e3, "x\u00e9", true, null, ...int]
