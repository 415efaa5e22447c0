package server

import (
	"sync"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// pendingRequests holds the requests waiting for an answer of the claims core.
type pendingRequests struct {
	mu      sync.Mutex
	next    claims.RequestID
	answers map[claims.RequestID]chan structs.Answer
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{answers: make(map[claims.RequestID]chan structs.Answer)}
}

// add returns a new request ID and the channel that receives its only answer.
func (p *pendingRequests) add() (claims.RequestID, <-chan structs.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	answers := make(chan structs.Answer, 1)
	p.answers[p.next] = answers
	return p.next, answers
}

// answer delivers an answer; false if the request is no longer pending.
func (p *pendingRequests) answer(request claims.RequestID, answer structs.Answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	answers, ok := p.answers[request]
	if ok {
		delete(p.answers, request)
		answers <- answer
	}
	return ok
}

// remove removes an abandoned request.
func (p *pendingRequests) remove(request claims.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, request)
}
