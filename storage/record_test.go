package storage

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// FuzzDecodeRecord guards against panics, oversized allocations and records
// that decode to something that was not written.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(appendRecord(nil, record{kind: kindEntry, body: []byte("body")}))
	f.Add(appendRecord(nil, record{kind: kindReset})[:7])
	f.Add(make([]byte, 40))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		r, fault := decodeRecord(data)
		if fault != faultNone {
			return
		}
		if encoded := appendRecord(nil, r); !bytes.HasPrefix(data, encoded) || r.size() != len(encoded) {
			t.Fatalf("record %v encodes to %x, decoded from %x", r.kind, encoded, data)
		}
	})
}

var _ = Describe("A record", func() {
	one := appendRecord(nil, record{kind: kindEntry, body: []byte{7, 0, 0, 9, 0}})
	two := appendRecord(bytes.Clone(one), record{kind: kindHardState, body: []byte("x")})

	// Guards against a damaged record that is truncated as a torn one.
	It("is damaged, not torn, after any flipped bit", func() {
		for _, data := range [][]byte{one, two} {
			for bit := range len(one) * 8 {
				flipped := bytes.Clone(data)
				flipped[bit/8] ^= 1 << (bit % 8)
				_, fault := decodeRecord(flipped)
				Expect(fault).NotTo(BeElementOf(faultNone, faultTorn), "bit %d", bit)
			}
		}
	})

	// Guards against a folder that cannot be opened after a crash during a write.
	It("is torn when a part of it is missing or still zero", func() {
		for length := 1; length < len(one); length++ {
			_, fault := decodeRecord(one[:length])
			Expect(fault).To(Equal(faultTorn), "%d bytes", length)
			padded := append(bytes.Clone(one[:length]), make([]byte, 30)...)
			_, fault = decodeRecord(padded)
			Expect(fault).To(Equal(faultTorn), "%d bytes and zeros", length)
		}
	})
})
