package membership

import "time"

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// Send sends a message. It may be lost.
type Send struct {
	To      string
	Message Message
}

// MemberUp reports that an instance was added to the view.
type MemberUp struct{ Name string }

// MemberSuspected reports that an instance does not answer. It stays in the view.
type MemberSuspected struct{ Name string }

// MemberDown reports that an instance was removed from the view.
type MemberDown struct {
	Name string
	Left bool // gracefully
}

// ClockSkewChanged reports whether this instance's clock differs too much from the
// median of its peers' clocks, for claims.ClockSkewChanged.
type ClockSkewChanged struct {
	Skewed bool
	Offset time.Duration // of this clock, positive if it is ahead
}

func (Send) isEffect()             {}
func (MemberUp) isEffect()         {}
func (MemberSuspected) isEffect()  {}
func (MemberDown) isEffect()       {}
func (ClockSkewChanged) isEffect() {}
