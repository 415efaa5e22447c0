package cluster

import (
	"encoding/binary"
	"sync"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

// versionBytes is the length of the version in front of an encoded document.
const versionBytes = 8

func (d *Document) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, d.Version), d.Body...)
}

func decodeDocument(data []byte) (Document, error) {
	if len(data) < versionBytes {
		return Document{}, errors.Errorf("document has %d bytes", len(data))
	}
	return Document{Version: binary.BigEndian.Uint64(data), Body: data[versionBytes:]}, nil
}

// documentStore is the replicated state: the document with the highest version.
// It implements node.StateMachine.
type documentStore struct {
	mu       sync.RWMutex
	document Document
}

// current returns the document; its body must not be changed.
func (s *documentStore) current() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// Apply takes a document if its version is higher. The answer is the version in
// force afterwards.
func (s *documentStore) Apply(entry *consensus.Entry) ([]byte, error) {
	document, err := decodeDocument(entry.Data)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if document.Version > s.document.Version {
		s.document = document
	}
	return binary.BigEndian.AppendUint64(nil, s.document.Version), nil
}

// Snapshot returns the encoded document.
func (s *documentStore) Snapshot() ([]byte, error) {
	document := s.current()
	return document.encode(), nil
}

// Restore replaces the document by an encoded one.
func (s *documentStore) Restore(data []byte) error {
	document, err := decodeDocument(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = document
	return nil
}
