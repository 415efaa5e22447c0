package wire

import (
	"net"
	"time"
)

// chunkBytes bounds what one message writes at a time. The heartbeats and the other
// messages of a session wait for at most one chunk of each.
const chunkBytes = 16 << 10

// chunkWriter writes to a stream in chunks, each of which has the whole timeout: a large
// message on a slow link may take as long as it makes progress.
type chunkWriter struct {
	stream  net.Conn
	timeout time.Duration // of a chunk; 0: the deadline of the stream stays as it is
}

func (w chunkWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if w.timeout > 0 {
			if err := w.stream.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
				return written, err
			}
		}
		n, err := w.stream.Write(p[written:min(written+chunkBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
