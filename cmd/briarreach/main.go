// Command briarreach runs the roles of the router fleet and the operators'
// commands.
package main

func main() {}
