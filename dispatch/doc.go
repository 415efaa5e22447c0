// Package dispatch decides which job is admitted, which task runs next and on
// which target, what is retried and which targets are ejected. It does no I/O:
// Step takes one event, Ready returns the pending effects, NextWake returns when
// the next Tick is due. One goroutine owns a Core.
//
// An attempt is one execution of a task; package placement has the word run for it.
// An instance manages the targets that it is in charge of; packages placement and
// cluster call this owning.
package dispatch
