package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"hawthornshore.example/wire"
)

const (
	// minDeflateBytes is the size from which Raft messages are compressed.
	// Heartbeats and lease renewals are smaller; configurations and snapshots
	// are larger.
	minDeflateBytes = 1 << 10
	// maxInflateBytes bounds a message after decompression.
	maxInflateBytes = 32 << 20
)

// deflater compresses large Raft messages. A configuration of 300 tenants would
// otherwise account for most of the bytes a leader sends when it changes once a
// second. It is not safe for concurrent use.
type deflater struct {
	buffer bytes.Buffer
	writer *flate.Writer
}

// pack returns a message with data, compressed if that makes it smaller.
func (d *deflater) pack(data []byte) *wire.ConsensusMessage {
	if len(data) < minDeflateBytes {
		return &wire.ConsensusMessage{Data: data}
	}
	deflated, err := d.deflate(data)
	if err != nil || len(deflated) >= len(data) {
		return &wire.ConsensusMessage{Data: data}
	}
	return &wire.ConsensusMessage{Deflated: deflated}
}

func (d *deflater) deflate(data []byte) ([]byte, error) {
	d.buffer.Reset()
	if d.writer == nil {
		writer, err := flate.NewWriter(&d.buffer, flate.BestSpeed)
		if err != nil {
			return nil, errors.Trace(err)
		}
		d.writer = writer
	} else {
		d.writer.Reset(&d.buffer)
	}
	if _, err := d.writer.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := d.writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return bytes.Clone(d.buffer.Bytes()), nil
}

// unpack returns the decompressed data of a message.
func unpack(message *wire.ConsensusMessage) ([]byte, error) {
	deflated := message.GetDeflated()
	if len(deflated) == 0 {
		return message.GetData(), nil
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	data, err := io.ReadAll(io.LimitReader(reader, maxInflateBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress Raft message")
	}
	if len(data) > maxInflateBytes {
		return nil, errors.Errorf("decompressed Raft message exceeds %d bytes", maxInflateBytes)
	}
	return data, nil
}
