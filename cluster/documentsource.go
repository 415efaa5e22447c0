package cluster

import (
	"sync"
	"time"

	"hawthornshore.example/cluster/documents"
	"hawthornshore.example/wire"
)

// documentSource serves the document of a coordinator to gateways: it announces each
// version and answers the gateways' requests.
type documentSource struct {
	coordinator *Coordinator

	mu     sync.Mutex
	source *documents.Source
}

func newDocumentSource(c *Coordinator) *documentSource {
	return &documentSource{coordinator: c, source: documents.NewSource()}
}

// set makes a document the one that gateways get. It has to precede the announcement
// and any heartbeat with its version.
func (s *documentSource) set(document *Document) error {
	encoded, err := documents.Encode(document.Version, document.Body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Set(encoded)
	return nil
}

// announce tells all gateways of a version.
func (s *documentSource) announce(version uint64) {
	announcement := &wire.Envelope{Body: &wire.Envelope_DocumentAnnouncement{
		DocumentAnnouncement: &wire.DocumentAnnouncement{Version: version},
	}}
	for _, gateway := range s.coordinator.gateways() {
		s.coordinator.send(gateway, announcement)
		s.push(gateway)
	}
}

// answer sends a gateway the piece that it has asked for.
func (s *documentSource) answer(gateway string, request *wire.DocumentRequest) {
	s.mu.Lock()
	piece, ok := s.source.Piece(gateway, documents.Request{Version: request.GetVersion(), Offset: request.GetOffset()})
	s.mu.Unlock()
	if !ok {
		return
	}
	if s.coordinator.send(gateway, &wire.Envelope{Body: &wire.Envelope_DocumentPiece{DocumentPiece: &wire.DocumentPiece{
		Version: piece.Version, Total: piece.Total, Checksum: piece.Checksum, Offset: piece.Offset, Data: piece.Data,
	}}}) {
		documentBytesSent.Add(len(piece.Data))
	}
}

// forget drops what is kept for a gateway that is no longer linked.
func (s *documentSource) forget(gateway string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Forget(gateway)
}

// pushInterval is the pause before the same version is pushed to a gateway again.
const pushInterval = 500 * time.Millisecond

// push sends the whole document to a gateway of an earlier version, which does not
// request it, if its last heartbeat has an older version.
func (s *documentSource) push(gateway string) {
	c := s.coordinator
	c.mu.Lock()
	state, ok := c.linked[gateway]
	document := c.document
	stale := ok && !state.requestsDocuments && state.documentVersion < document.Version &&
		(state.pushedVersion < document.Version || time.Since(state.pushedAt) > pushInterval)
	if stale {
		state.pushedVersion, state.pushedAt = document.Version, time.Now()
		c.linked[gateway] = state
	}
	c.mu.Unlock()
	if !stale {
		return
	}
	if c.send(gateway, &wire.Envelope{Body: &wire.Envelope_DocumentState{
		DocumentState: &wire.DocumentState{Version: document.Version, Body: document.Body},
	}}) {
		documentBytesSent.Add(len(document.Body))
	}
}
