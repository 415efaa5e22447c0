// Package dispatch decides which job is admitted, which task runs next and on
// which target, what is retried and which targets are trusted. It does no I/O:
// Step takes one event, Ready hands out the effects, NextWake says when a Tick
// is due. One goroutine owns a Core.
package dispatch
