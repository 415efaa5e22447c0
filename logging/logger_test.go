package logging_test

import (
	"bytes"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/logging"
)

var _ = Describe("NewLogger", func() {
	// Guards against lines that a reader cannot split into key=value pairs, and
	// against booleans written as numbers of bytes.
	It("writes one line of key=value pairs per event", func() {
		var out bytes.Buffer
		log := logging.NewLogger(&out, zerolog.InfoLevel)
		log.Warn().Str("event", "link_down").Str("peer", "a b").Bool("left", true).Int("n", 3).Err(errors.New(`say "x"`)).Send()
		Expect(out.String()).To(MatchRegexp(
			`^time=\S+ level=warn error="say \\"x\\"" event=link_down left=true n=3 peer="a b"\n$`))
	})
})
