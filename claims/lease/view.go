package lease

import "slices"

// View holds the agreed members of a data centre. Epochs only increase, and one
// epoch has one view.
type View struct {
	Epoch   uint64
	Members []Member // ordered by name
	// Left is the member whose graceful leave began the epoch, Token the
	// hand-over that it completed before. Zero for any other change.
	Left  string
	Token uint64
}

// Member is one agreed member.
type Member struct {
	Name string
	// Joined is the epoch since which the instance is a member without
	// interruption.
	Joined uint64
}

// Names returns the names of the members in order.
func (v *View) Names() []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		names = append(names, m.Name)
	}
	return names
}

// member returns the member with the given name.
func (v *View) member(name string) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Has reports whether an instance is a member.
func (v *View) Has(name string) bool {
	_, ok := v.member(name)
	return ok
}
