package server

import (
	"sync"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// waiters holds the requests that wait for an answer of the claims core.
type waiters struct {
	mu      sync.Mutex
	next    claims.RequestID
	waiting map[claims.RequestID]chan structs.Answer
}

func newWaiters() *waiters {
	return &waiters{waiting: make(map[claims.RequestID]chan structs.Answer)}
}

// add returns a fresh request ID and the channel that gets its one answer.
func (w *waiters) add() (claims.RequestID, <-chan structs.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	answers := make(chan structs.Answer, 1)
	w.waiting[w.next] = answers
	return w.next, answers
}

// answer delivers an answer; false if the request has gone away.
func (w *waiters) answer(request claims.RequestID, answer structs.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	answers, ok := w.waiting[request]
	if ok {
		delete(w.waiting, request)
		answers <- answer
	}
	return ok
}

// remove forgets a request that no longer waits.
func (w *waiters) remove(request claims.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, request)
}
