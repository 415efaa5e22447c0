// Package membership decides which instances are alive. It does no I/O: Step
// takes one event, Ready hands out the effects, NextWake says when a Tick is due.
// One goroutine owns a Core.
//
// An instance probes one other member per ProbeInterval, in random order. A
// heartbeat on a link counts as an answer. A member that does not answer is
// probed through other members, then suspected, and held dead if it does not
// refute the suspicion with a higher incarnation in time. Changes spread with the
// probes. All of this costs an instance the same whether there are 10 instances
// or 1,000; only the tables grow.
//
// The view is for routing and for the choice of slot managers. It is no agreement:
// package claims/lease decides who owns job IDs.
package membership
