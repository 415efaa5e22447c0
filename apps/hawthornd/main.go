// Command hawthornd is an entry instance.
package main

func main() {}
