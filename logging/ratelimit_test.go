package logging_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

// blockedWriter is a writer that never returns.
type blockedWriter struct{ entered chan struct{} }

func (w *blockedWriter) Write([]byte) (int, error) {
	close(w.entered)
	select {}
}

var _ = Describe("RateLimitedWriter", func() {
	// Guards against a log that grows with the load, and against lines that are
	// omitted without a count.
	It("omits lines beyond the limit and counts them", func() {
		var out bytes.Buffer
		w := logging.NewRateLimitedWriter(&out)
		log := w.Logger(zerolog.InfoLevel, 3)
		for i := range 10 {
			log.Info().Str("event", "e").Int("i", i).Send()
		}
		stop := make(chan struct{})
		close(stop)
		Expect(w.Run(stop)).To(Succeed())
		lines := strings.Count(out.String(), "event=e ")
		Expect(lines).To(And(BeNumerically(">=", 3), BeNumerically("<=", 6)), "a second may begin in between")
		Expect(out.String()).To(ContainSubstring("event=log_lines_omitted"))
	})

	// Guards against lines about the state of a process that are lost among those of a
	// burst of requests.
	It("omits no line of a logger because of another one", func() {
		var out bytes.Buffer
		w := logging.NewRateLimitedWriter(&out)
		requests, state := w.Logger(zerolog.InfoLevel, 1), w.Logger(zerolog.InfoLevel, 10)
		for range 100 {
			requests.Info().Str("event", "request").Send()
		}
		for range 10 {
			state.Info().Str("event", "state").Send()
		}
		stop := make(chan struct{})
		close(stop)
		Expect(w.Run(stop)).To(Succeed())
		Expect(strings.Count(out.String(), "event=state")).To(Equal(10))
	})

	// Guards against a process that is blocked by its log output.
	It("never blocks on its output", func() {
		out := &blockedWriter{entered: make(chan struct{})}
		w := logging.NewRateLimitedWriter(out)
		log := w.Logger(zerolog.InfoLevel, 1_000_000)
		go func() { _ = w.Run(make(chan struct{})) }()
		log.Info().Send()
		<-out.entered
		for range 10_000 {
			log.Info().Send()
		}
	})
})
