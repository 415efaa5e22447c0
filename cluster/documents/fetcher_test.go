package documents_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/cluster/documents"
)

// encoded returns a document that takes the given number of whole pieces and some bytes.
func encoded(version uint64, pieces int) documents.Encoded {
	GinkgoHelper()
	random := rand.New(rand.NewPCG(version, 0))
	body := make([]byte, pieces*documents.PieceBytes)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	document, err := documents.Encode(version, body)
	Expect(err).NotTo(HaveOccurred())
	return document
}

var _ = Describe("the fetch of a document", func() {
	var (
		f       *documents.Fetcher
		sources map[string]*documents.Source
	)
	hold := func(name string, document documents.Encoded) {
		if sources[name] == nil {
			sources[name] = documents.NewSource()
		}
		sources[name].Set(document)
	}
	BeforeEach(func() {
		f = documents.NewFetcher("g")
		sources = map[string]*documents.Source{}
	})
	// answer passes the piece for a request to the fetcher.
	answer := func(request documents.Request) *documents.Encoded {
		GinkgoHelper()
		piece, ok := sources[request.Peer].Piece("g", request)
		Expect(ok).To(BeTrue())
		whole, err := f.Received(request.Peer, &piece)
		Expect(err).NotTo(HaveOccurred())
		return whole
	}
	next := func(ms int) documents.Request {
		GinkgoHelper()
		request, ok := f.Next(at(ms))
		Expect(ok).To(BeTrue())
		return request
	}
	none := func(ms int) {
		GinkgoHelper()
		_, ok := f.Next(at(ms))
		Expect(ok).To(BeFalse())
	}

	// Guards against a copy from each coordinator, and against more than one piece ahead
	// of other messages.
	It("asks one coordinator, of its data centre, for one piece at a time", func() {
		document := encoded(1, 3)
		for i := range 6 {
			name := fmt.Sprint(i)
			hold(name, document)
			f.Announced(at(-100), name, name == "4", 1)
		}
		for offset := uint64(0); offset < 3*documents.PieceBytes; offset += documents.PieceBytes {
			request := next(1)
			Expect(request).To(Equal(documents.Request{Peer: "4", Version: min(offset, 1), Offset: offset}))
			none(2)
			Expect(answer(request)).To(BeNil())
		}
		whole := answer(next(3))
		Expect(whole).To(Equal(&document))
		f.Finished(at(4), 1)
		none(5)
	})

	// Pattern: changes in quick succession. Guards against superseded versions that are
	// sent, and against a transfer that begins anew with each change and never ends.
	It("completes what it has begun, and takes the newest version after that", func() {
		hold("a", encoded(1, 1))
		f.Announced(at(-100), "a", true, 1)
		Expect(answer(next(0))).To(BeNil())
		for version := uint64(2); version <= 9; version++ {
			hold("a", encoded(version, 1))
			f.Announced(at(int(version)), "a", true, version)
		}
		first := answer(next(10))
		Expect(first.Version).To(Equal(uint64(1)))
		f.Finished(at(11), 1)
		Expect(answer(next(11))).To(BeNil())
		Expect(answer(next(12)).Version).To(Equal(uint64(9)))
	})

	// Guards against a gateway that waits for a coordinator which has frozen.
	It("continues at another coordinator when one does not answer in time", func() {
		document := encoded(1, 2)
		hold("a", document)
		hold("b", document)
		f.Announced(at(-100), "a", true, 1)
		f.Announced(at(-100), "b", false, 1)
		Expect(answer(next(0))).To(BeNil())
		Expect(next(1).Peer).To(Equal("a"))
		none(250)
		request := next(400)
		Expect(request).To(Equal(documents.Request{Peer: "b", Version: 1, Offset: documents.PieceBytes}))
		Expect(answer(request)).To(BeNil())
		Expect(answer(next(401))).To(Equal(&document))
	})

	// Guards against a link slower than the timeout, on which each piece that comes late
	// would be discarded.
	It("uses a piece that comes after its timeout", func() {
		document := encoded(1, 1)
		hold("a", document)
		f.Announced(at(-100), "a", true, 1)
		Expect(answer(next(0))).To(BeNil())
		late := next(1)
		again := next(400)
		Expect(again).To(Equal(late))
		Expect(answer(late)).To(Equal(&document))
		f.Finished(at(401), 1)
		Expect(answer(again)).To(BeNil(), "the same piece again")
		none(402)
	})

	// Guards against an older document from a coordinator whose log lags or has stopped,
	// after another one was heard of a newer version.
	It("never goes back to an older version", func() {
		hold("lagging", encoded(1, 1))
		hold("current", encoded(2, 0))
		f.Announced(at(-100), "current", false, 2)
		Expect(answer(next(0)).Version).To(Equal(uint64(2)))
		f.Finished(at(1), 2)
		f.Announced(at(2), "lagging", true, 1)
		none(3)
		f.Announced(at(4), "lagging", true, 3) // of an earlier process: its log was lost
		Expect(answer(next(60))).To(BeNil())
		none(61)
	})

	// Pattern: a gateway starts again beside coordinators that are cut off from the others
	// and lag. Guards against an older configuration than before its restart, and against
	// an old version that is fetched although a newer one is known.
	It("takes the newest version that it hears of after its start", func() {
		hold("lagging", encoded(1, 0))
		hold("current", encoded(2, 0))
		f.Announced(at(0), "lagging", true, 1)
		none(0)
		f.Announced(at(3), "current", false, 2)
		none(49)
		Expect(next(50).Peer).To(Equal("current"))
	})

	// Guards against bytes between data centres for a document that the coordinators of
	// the own one hold some milliseconds later, and against a wait for one that lags.
	It("waits shortly for a coordinator of its data centre", func() {
		for _, name := range []string{"near", "far"} {
			hold(name, encoded(1, 0))
			f.Announced(at(-100), name, name == "near", 1)
		}
		Expect(next(0).Peer).To(Equal("near"))
		f.Finished(at(1), 1)
		answer(documents.Request{Peer: "near"})
		f.Announced(at(1000), "far", false, 2)
		none(1010)
		f.Announced(at(1012), "near", true, 2)
		Expect(next(1013).Peer).To(Equal("near"))
		answer(documents.Request{Peer: "near"})
		f.Finished(at(1014), 2)
		f.Announced(at(2000), "far", false, 3)
		none(2049)
		Expect(next(2050).Peer).To(Equal("far"))
	})

	// Guards against requests to a coordinator without a link.
	It("turns to another coordinator when the link is lost", func() {
		document := encoded(1, 2)
		hold("a", document)
		hold("b", document)
		f.Announced(at(-100), "a", true, 1)
		f.Announced(at(-100), "b", false, 1)
		Expect(answer(next(0))).To(BeNil())
		Expect(next(1).Peer).To(Equal("a"))
		f.Lost("a")
		Expect(next(2).Peer).To(Equal("b"))
	})

	// Guards against a coordinator that has started again with an older log and is asked
	// for the rest of a document without end, while another one has it.
	It("turns to another coordinator when one has lost the document", func() {
		hold("a", encoded(1, 0))
		f.Announced(at(-100), "a", true, 1)
		answer(next(0))
		f.Finished(at(1), 1)
		hold("a", encoded(2, 1))
		hold("b", encoded(2, 1))
		f.Announced(at(100), "a", true, 2)
		f.Announced(at(100), "b", false, 2)
		Expect(answer(next(101))).To(BeNil())
		f.Lost("a")
		sources["a"] = documents.NewSource()
		hold("a", encoded(1, 0))
		f.Announced(at(110), "a", true, 1)
		Expect(next(160).Peer).To(Equal("b"))
	})

	// Guards against a loop that sleeps while a request is due.
	It("says when it has a request without further events", func() {
		hold("far", encoded(1, 0))
		Expect(f.NextWake(at(0))).To(BeZero())
		f.Announced(at(0), "far", false, 1)
		Expect(f.NextWake(at(0))).To(Equal(at(50)))
		none(49)
		request := next(50)
		Expect(f.NextWake(at(50))).To(Equal(at(350)))
		answer(request)
		f.Finished(at(51), 1)
		Expect(f.NextWake(at(51))).To(BeZero())
	})

	// Guards against a damaged document that is obeyed, or that stops the fetch.
	It("begins anew after a wrong checksum", func() {
		document := encoded(1, 0)
		hold("a", document)
		f.Announced(at(-100), "a", true, 1)
		request := next(0)
		piece, _ := sources["a"].Piece("g", request)
		piece.Data = append([]byte{piece.Data[0] + 1}, piece.Data[1:]...)
		_, err := f.Received("a", &piece)
		Expect(err).To(HaveOccurred())
		Expect(answer(next(1))).To(Equal(&document))
	})
})

var _ = Describe("the source of documents", func() {
	// Guards against a repeated request for the last piece, whose answer was lost with a
	// link, that gets nothing.
	It("answers any request with a piece of a document that it has", func() {
		s := documents.NewSource()
		_, ok := s.Piece("g", documents.Request{})
		Expect(ok).To(BeFalse())
		first := encoded(1, 1)
		s.Set(first)
		last := documents.Request{Version: 1, Offset: documents.PieceBytes}
		for range 2 {
			piece, ok := s.Piece("g", last)
			Expect(ok).To(BeTrue())
			Expect(piece.Offset + uint64(len(piece.Data))).To(Equal(uint64(len(first.Data))))
		}
		s.Set(encoded(2, 1))
		for _, request := range []documents.Request{last, {Version: 1, Offset: 1 << 40}, {Version: 7, Offset: 5}, {Offset: 5}} {
			piece, ok := s.Piece("g", request)
			Expect(ok).To(BeTrue())
			Expect(piece.Version).To(Equal(uint64(2)))
			Expect(piece.Offset).To(BeZero())
		}
	})

	// Guards against a version that is lost to a gateway in the middle of its transfer.
	It("keeps a document for a gateway that has it in part", func() {
		s := documents.NewSource()
		s.Set(encoded(1, 1))
		piece, _ := s.Piece("g", documents.Request{})
		s.Set(encoded(2, 1))
		rest, _ := s.Piece("g", documents.Request{Version: 1, Offset: uint64(len(piece.Data))})
		Expect(rest.Version).To(Equal(uint64(1)))
		Expect(rest.Offset).To(Equal(uint64(len(piece.Data))))
	})

	// Guards against a decoded document that differs from what operators sent.
	It("decodes what it has encoded", func() {
		body := []byte(`{"version":3}`)
		document, err := documents.Encode(3, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Body()).To(Equal(body))
	})
})
