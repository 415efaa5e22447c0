package cli_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
)

// reply is an answer of a fake instance. Status 0 closes the connection
// without a response.
type reply struct {
	status int
	body   string
	served bool
}

// fakeInstance serves queued answers and records the requests.
type fakeInstance struct {
	server *httptest.Server

	mu       sync.Mutex
	queues   map[string][]reply // by "METHOD PATH"
	requests strings.Builder
}

func newFakeInstance() *fakeInstance {
	f := &fakeInstance{queues: map[string][]reply{}}
	f.server = httptest.NewServer(f)
	return f
}

func (f *fakeInstance) queue(endpoint string, r reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queues[endpoint] = append(slices.DeleteFunc(f.queues[endpoint], func(r reply) bool { return r.served }), r)
}

func (f *fakeInstance) received() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests.String()
}

// next records a request and returns its answer. The last answer of an endpoint
// is repeated until another is queued.
func (f *fakeInstance) next(r *http.Request, body []byte) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&f.requests, "%s %s %s\n", r.Method, r.URL.RequestURI(), body)
	endpoint := r.Method + " " + r.URL.Path
	queue := f.queues[endpoint]
	if len(queue) == 0 {
		return reply{status: http.StatusNotFound, body: "no such path"}
	}
	answer := queue[0]
	queue[0].served = true
	if len(queue) > 1 {
		f.queues[endpoint] = queue[1:]
	}
	return answer
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	answer := f.next(r, body)
	if answer.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(answer.status)
	_, _ = io.WriteString(w, answer.body)
}
