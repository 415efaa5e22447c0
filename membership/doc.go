// Package membership is a failure detector in the manner of SWIM. It does no I/O:
// Step processes one event, Ready returns the effects, NextWake returns when a Tick
// is due. A Core is not safe for concurrent use.
//
// An instance probes one other member per ProbeInterval, in random order. A
// heartbeat on a link counts as an answer. A member that does not answer is
// probed through other members, then suspected, and declared dead if it does not
// refute the suspicion with a higher incarnation in time. Changes spread with the
// probes. The load on an instance is the same whether there are 10 instances or
// 1,000; only the tables grow.
//
// The view is used for routing and for the choice of slot managers. Instances may
// have different views: package claims/lease determines the owners of job IDs.
package membership
