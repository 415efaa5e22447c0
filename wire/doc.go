// Package wire holds the messages and the links between instances.
package wire
