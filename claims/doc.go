// Package claims keeps, for the job IDs that an instance owns, the claim and
// the answer, so that a job is admitted at most once and every submission of it
// gets the same answer. It does no I/O: Step takes one event, Ready hands out
// the effects, NextWake says when a Tick is due. One goroutine owns a Core.
package claims
