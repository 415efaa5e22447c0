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

// instance serves every request with the handler and counts them.
func instance(handler http.HandlerFunc) (address string, calls *atomic.Int64) {
	calls = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), calls
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	// Guards against a tool that hangs on a connection that has gone silent.
	It("asks the next address when one is silent", func() {
		release := make(chan struct{})
		silent, _ := instance(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		other, _ := instance(answer(http.StatusOK, `{"instance":"b"}`))
		client := api.New(api.Options{Addresses: []string{silent, other}, Timeout: 100 * time.Millisecond, Tries: 2})
		members, err := client.Members(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Instance).To(Equal("b"))
	})

	// Guards against resends of a call that an instance has decided.
	It("does not resend a call that was refused", func() {
		refusing, calls := instance(answer(http.StatusServiceUnavailable, `{"instance":"a","step":"propose","message":"no majority"}`))
		client := api.New(api.Options{Addresses: []string{refusing}, Timeout: time.Second, Tries: 5})
		_, err := client.Apply(ctx, operatorapi.ApplyRequest{})
		var refusal *operatorapi.ErrorReply
		Expect(err).To(MatchError(ContainSubstring("propose")))
		Expect(err).To(Satisfy(func(err error) bool { return errors.As(err, &refusal) }))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against tries without end, and against a lost answer that is not
	// told apart from a refusal.
	DescribeTable("takes for lost what no instance has answered", func(status int, body string) {
		address, calls := instance(answer(status, body))
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 3})
		_, err := client.Config(ctx)
		var lost *api.NoAnswerError
		Expect(err).To(Satisfy(func(err error) bool { return errors.As(err, &lost) }))
		Expect(calls.Load()).To(BeEquivalentTo(3))
	},
		Entry("the load balancer's page", http.StatusBadGateway, "<html>"),
		Entry("half an answer", http.StatusOK, `{"instance":`),
		Entry("an error without explanation", http.StatusInternalServerError, `{}`),
	)

	// Guards against a redirection that carries a job to another host.
	It("follows no redirection", func() {
		other, calls := instance(answer(http.StatusOK, `{}`))
		address, _ := instance(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+other+r.URL.Path, http.StatusTemporaryRedirect)
		})
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 1})
		_, err := client.SubmitJob(ctx, &structs.Job{ID: structs.NewJobID()})
		Expect(err).To(MatchError(ContainSubstring("status 307")))
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against tries after the operator has interrupted the command.
	It("stops trying when the context ends", func() {
		address, calls := instance(answer(http.StatusBadGateway, ""))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		client := api.New(api.Options{Addresses: []string{address}, Timeout: time.Second, Tries: 5})
		_, err := client.Members(ended)
		Expect(err).To(MatchError(ContainSubstring("1 tries")))
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against https addresses whose certificate is not checked.
	It("checks the certificate of an https address", func() {
		server := httptest.NewTLSServer(answer(http.StatusOK, `{"instance":"a"}`))
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
