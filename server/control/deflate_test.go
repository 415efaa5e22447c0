package control

import (
	"bytes"
	"compress/flate"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/wire"
)

var _ = Describe("Raft messages", func() {
	// Guards against a reused writer that leaks bytes of the previous message, and
	// against messages that share memory with a later one.
	It("are unchanged by compression, whatever their size and content", func() {
		random := make([]byte, 8<<10)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range random {
			random[i] = byte(rng.Uint32())
		}
		sent := [][]byte{
			[]byte("small"),
			[]byte(strings.Repeat(`{"name":"tenant"}`, 1000)),
			random,
			{},
			[]byte(strings.Repeat(`{"name":"another"}`, 500)),
		}
		var d deflater
		var packed []*wire.ConsensusMessage
		for _, data := range sent {
			packed = append(packed, d.pack(data))
		}
		for i, message := range packed {
			Expect(unpack(message)).To(BeEquivalentTo(sent[i]))
		}
		Expect(len(packed[1].GetDeflated())).To(BeNumerically("<", len(sent[1])/10))
		Expect(packed[2].GetDeflated()).To(BeEmpty(), "incompressible data is sent uncompressed")
	})

	// Guards against a truncated message that is accepted as a shorter one.
	It("are rejected if they are truncated", func() {
		var d deflater
		message := d.pack(bytes.Repeat([]byte("tenant"), 1000))
		message.Deflated = message.GetDeflated()[:len(message.GetDeflated())-3]
		_, err := unpack(message)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a small message that exhausts the memory when decompressed.
	It("are rejected if they exceed the size limit after decompression", func() {
		var buffer bytes.Buffer
		writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
		Expect(err).NotTo(HaveOccurred())
		_, err = writer.Write(make([]byte, maxInflateBytes+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		_, err = unpack(&wire.ConsensusMessage{Deflated: buffer.Bytes()})
		Expect(err).To(MatchError(ContainSubstring("exceeds")))
	})
})
