package experiment

// Messages counts the messages for starts. Heartbeats and announcements are not
// included, as their number does not depend on the load.
type Messages struct {
	Starts   int `json:"starts"`   // start messages
	Begun    int `json:"begun"`    // starts that a target executed
	Refused  int `json:"refused"`  // starts that were refused or not sent, and queries answered with a refusal
	Requests int `json:"requests"` // slot requests
	Grants   int `json:"grants"`   // replies to slot requests, including empty ones
	Empty    int `json:"empty"`    // empty replies
	Returns  int `json:"returns"`  // loans returned
	Unused   int `json:"unused"`   // loans returned without a start
	Wasted   int `json:"wasted"`   // messages that did not lead to a start
}

func (m *Messages) addWasted(n int) { m.Wasted += n }

// countGrant counts the reply to a request. For an empty reply, both messages
// count as wasted.
func (m *Messages) countGrant(slots int) {
	m.Grants++
	if slots == 0 {
		m.Empty++
		m.addWasted(2)
	}
}

// countReturn counts a returned loan. For an unused loan the return, the request
// and its reply count as wasted, as if it were the only loan of its request; this
// overcounts if the reply had several loans.
func (m *Messages) countReturn(unused bool) {
	m.Returns++
	if unused {
		m.Unused++
		m.addWasted(3)
	}
}

// WastedPerStart returns the wasted messages per start that a target executed.
func (m *Messages) WastedPerStart() float64 {
	if m.Begun == 0 {
		return 0
	}
	return float64(m.Wasted) / float64(m.Begun)
}
