package api_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/apps/hawthornctl/internal/api"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "API client")
}

// startInstance starts a server with the handler and counts its requests.
func startInstance(handler http.HandlerFunc) (address string, calls *atomic.Int64) {
	calls = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), calls
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	// Guards against a call that hangs on a connection without a response.
	It("calls the next address when one does not respond", func() {
		release := make(chan struct{})
		unresponsive, _ := startInstance(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		other, _ := startInstance(respond(http.StatusOK, `{"instance":"b"}`))
		client := api.New(api.Options{Addresses: []string{unresponsive, other}, Timeout: 100 * time.Millisecond, Tries: 2})
		members, err := client.Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Instance).To(Equal("b"))
	})

	// Guards against resends of a call that an instance has rejected.
	It("does not resend a call that was rejected", func() {
		rejecting, calls := startInstance(respond(http.StatusServiceUnavailable, `{"instance":"a","step":"propose","message":"no majority"}`))
		client := api.New(api.Options{Addresses: []string{rejecting}, Timeout: time.Second, Tries: 5})
		_, err := client.Apply(ctx, operatorapi.ApplyRequest{})
		var rejection *operatorapi.ErrorReply
		Expect(err).To(MatchError(ContainSubstring("propose")))
		Expect(err).To(Satisfy(func(err error) bool { return errors.As(err, &rejection) }))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against unlimited retries, and against a lost answer that is reported
	// as a rejection.
	DescribeTable("returns NoAnswerError for a response that is not from an instance", func(status int, body string) {
		address, calls := startInstance(respond(status, body))
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 3})
		_, err := client.Config(ctx)
		var noAnswer *api.NoAnswerError
		Expect(err).To(Satisfy(func(err error) bool { return errors.As(err, &noAnswer) }))
		Expect(calls.Load()).To(BeEquivalentTo(3))
	},
		Entry("error page of a load balancer", http.StatusBadGateway, "<html>"),
		Entry("truncated answer", http.StatusOK, `{"instance":`),
		Entry("error without a message", http.StatusInternalServerError, `{}`),
	)

	// Guards against a redirect that sends a job to another host.
	It("does not follow redirects", func() {
		other, calls := startInstance(respond(http.StatusOK, `{}`))
		address, _ := startInstance(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+other+r.URL.Path, http.StatusTemporaryRedirect)
		})
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 1})
		_, err := client.SubmitJob(ctx, &structs.Job{ID: structs.NewJobID()})
		Expect(err).To(MatchError(ContainSubstring("status 307")))
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against retries after the operator has interrupted the command.
	It("stops retrying when the context ends", func() {
		address, calls := startInstance(respond(http.StatusBadGateway, ""))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 5})
		_, err := client.Members(ended)
		Expect(err).To(MatchError(ContainSubstring("1 tries")))
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against https connections without verification of the certificate.
	It("verifies the certificate of an https address", func() {
		server := httptest.NewTLSServer(respond(http.StatusOK, `{"instance":"a"}`))
		DeferCleanup(server.Close)
		options := api.Options{Addresses: []string{server.URL}, Timeout: time.Second, Tries: 1, TLS: &tls.Config{RootCAs: x509.NewCertPool()}}
		_, err := api.New(options).Members(ctx)
		Expect(err).To(MatchError(ContainSubstring("certificate")))
		options.TLS.RootCAs.AddCert(server.Certificate())
		members, err := api.New(options).Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Instance).To(Equal("a"))
	})
})
