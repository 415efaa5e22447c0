package documents

import (
	"bytes"
	"compress/gzip"
	"hash/crc32"
	"io"

	"github.com/juju/errors"
)

const (
	// PieceBytes bounds a piece. Other messages of a link wait for at most one.
	PieceBytes = 16 << 10
	// maxBodyBytes bounds a decoded body; operators' documents are smaller.
	maxBodyBytes = 16 << 20
)

// Request asks a coordinator for the next piece of a document.
type Request struct {
	Peer    string
	Version uint64 // of the document that has arrived in part; 0: none
	Offset  uint64 // of the next piece in the encoded document
}

// Piece is a part of an encoded document.
type Piece struct {
	Version  uint64
	Total    uint64 // bytes of the encoded document
	Checksum uint32 // of the encoded document
	Offset   uint64
	Data     []byte
}

// Encoded is a compressed document.
type Encoded struct {
	Version  uint64
	Data     []byte
	Checksum uint32
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Encode compresses the body of a document.
func Encode(version uint64, body []byte) (Encoded, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(body); err != nil {
		return Encoded{}, errors.Annotate(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return Encoded{}, errors.Annotate(err, "compress document")
	}
	return Encoded{Version: version, Data: buffer.Bytes(), Checksum: crc32.Checksum(buffer.Bytes(), checksumTable)}, nil
}

// Body returns the body of the document.
func (e *Encoded) Body() ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(e.Data))
	if err != nil {
		return nil, errors.Annotate(err, "decompress document")
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.NotValidf("body of more than %d bytes", maxBodyBytes)
	}
	return body, errors.Annotate(err, "decompress document")
}

func (e *Encoded) valid() bool { return crc32.Checksum(e.Data, checksumTable) == e.Checksum }

// Source answers the requests of gateways. It keeps a document that a gateway has
// received in part until the gateway has it whole or asks for another one.
type Source struct {
	current   Encoded
	transfers map[string]Encoded // by gateway
}

// NewSource returns a source without a document.
func NewSource() *Source { return &Source{transfers: map[string]Encoded{}} }

// Set makes a document the newest one.
func (s *Source) Set(document Encoded) {
	if document.Version > s.current.Version {
		s.current = document
	}
}

// Piece returns the piece that a gateway has asked for, or the first one of the newest
// document if the one that it has in part is not kept. It returns false if there is no
// document.
func (s *Source) Piece(gateway string, request Request) (Piece, bool) {
	document, offset := s.current, request.Offset
	if kept, ok := s.transfers[gateway]; ok && kept.Version == request.Version {
		document = kept
	}
	if document.Version == 0 {
		return Piece{}, false
	}
	if document.Version != request.Version || offset >= uint64(len(document.Data)) {
		document, offset = s.current, 0
	}
	total := uint64(len(document.Data))
	end := min(offset+PieceBytes, total)
	if end < total {
		s.transfers[gateway] = document
	} else {
		delete(s.transfers, gateway)
	}
	return Piece{
		Version: document.Version, Total: total, Checksum: document.Checksum,
		Offset: offset, Data: document.Data[offset:end:end],
	}, true
}

// Forget drops what is kept for a gateway that is no longer linked.
func (s *Source) Forget(gateway string) { delete(s.transfers, gateway) }
