package experiment

// Messages counts the messages that concern starts. Heartbeats and
// announcements are not included: their number does not depend on the work.
type Messages struct {
	Starts   int `json:"starts"`   // start messages
	Begun    int `json:"begun"`    // starts that a target began
	Refused  int `json:"refused"`  // start messages that a target refused
	Requests int `json:"requests"` // slot requests
	Grants   int `json:"grants"`   // answers to them, empty ones included
	Empty    int `json:"empty"`    // empty ones
	Returns  int `json:"returns"`  // loans returned
	Unused   int `json:"unused"`   // loans returned without a start
	Wasted   int `json:"wasted"`   // messages that led to no start
}

func (m *Messages) wasted(n int) { m.Wasted += n }

// granted counts the answer to a request. An empty one wastes itself and its
// request.
func (m *Messages) granted(slots int) {
	m.Grants++
	if slots == 0 {
		m.Empty++
		m.wasted(2)
	}
}

// returned counts a returned loan. An unused one wastes the return and, as if it
// were the only loan of its request, the request and its answer; this counts too
// many when a request brought several loans.
func (m *Messages) returned(unused bool) {
	m.Returns++
	if unused {
		m.Unused++
		m.wasted(3)
	}
}

// WastedPerStart returns the wasted messages per start that a target began.
func (m *Messages) WastedPerStart() float64 {
	if m.Begun == 0 {
		return 0
	}
	return float64(m.Wasted) / float64(m.Begun)
}
