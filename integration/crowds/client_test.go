package crowds_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// clients is the number of clients of a crowd. On code without a budget, that many
	// bodies take more memory than the processes of the test have.
	clients = 400
	// returns is how often a client connects again after the server closed its connection.
	returns = 2
	// returnDelay is the time before a client connects again.
	returnDelay = 100 * time.Millisecond
	// sendTimeout bounds the time in which a crowd sends its requests.
	sendTimeout = 8 * time.Second
	// maxBody is the limit on bodies in the document of the stand-in operator.
	maxBody = 262144
	// sentBody is how much of a body is sent: it ends just before its end.
	sentBody = maxBody - 11
	// headBytes is the size of heads over the limit of 16,384 bytes, and below the
	// limit of 1 MiB that net/http has by default.
	headBytes = 700 << 10
	pieceSize = 4096
	tinyChunk = 8
)

// kind is what the clients of a crowd send.
type kind struct {
	name string
	// pieces yields the bytes to send. A client stays open after the last one.
	pieces func(method, path string) [][]byte
	// delay is the time between two pieces.
	delay time.Duration
}

func head(path, fields string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n%s", path, fields)
}

func lengthHead(path string) []byte {
	return head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
}

func chunkedHead(path string) []byte { return head(path, "Transfer-Encoding: chunked\r\n\r\n") }

// filler is a JSON string without an end.
var filler = append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), headBytes)...)

func split(data []byte, size int) [][]byte {
	var pieces [][]byte
	for len(data) > size {
		pieces = append(pieces, data[:size])
		data = data[size:]
	}
	return append(pieces, data)
}

var tinyChunks = sync.OnceValue(func() []byte {
	var data []byte
	for i := 0; i+tinyChunk <= sentBody; i += tinyChunk {
		data = fmt.Appendf(data, "%x\r\n%s\r\n", tinyChunk, filler[i:i+tinyChunk])
	}
	return data
})

var headFields = sync.OnceValue(func() []byte {
	var data []byte
	for i := 0; len(data) < headBytes; i++ {
		data = fmt.Appendf(data, "X-%06d: %s\r\n", i, filler[16:1016])
	}
	return data
})

var blankLines = sync.OnceValue(func() []byte { return bytes.Repeat([]byte("\r\n"), headBytes/2) })

var (
	bodiesAtOnce = kind{name: "bodies at once", pieces: func(_, path string) [][]byte {
		return [][]byte{lengthHead(path), filler[:sentBody]}
	}}
	bodiesInPieces = kind{name: "bodies in pieces", delay: 10 * time.Millisecond, pieces: func(_, path string) [][]byte {
		return append([][]byte{lengthHead(path)}, split(filler[:sentBody], pieceSize)...)
	}}
	oneLargeChunk = kind{name: "bodies in one large chunk", pieces: func(_, path string) [][]byte {
		return [][]byte{chunkedHead(path), fmt.Appendf(nil, "%x\r\n", maxBody), filler[:sentBody]}
	}}
	verySmallChunks = kind{name: "bodies in very small chunks", pieces: func(_, path string) [][]byte {
		return append([][]byte{chunkedHead(path)}, split(tinyChunks(), pieceSize)...)
	}}
	headsOverLimit = kind{name: "heads over the limit", delay: 10 * time.Millisecond, pieces: func(_, path string) [][]byte {
		return append(append([][]byte{head(path, "")}, split(headFields(), pieceSize)...), []byte("Content-Length: 0\r\n\r\n"))
	}}
	headsWithoutEnd = kind{name: "heads without end", delay: 10 * time.Millisecond, pieces: func(_, path string) [][]byte {
		return append([][]byte{head(path, "")}, split(headFields(), pieceSize)...)
	}}
	linesBeforeRequest = kind{name: "blank lines without end", delay: 10 * time.Millisecond, pieces: func(string, string) [][]byte {
		return split(blankLines(), pieceSize)
	}}
)

// crowd is a number of clients that send requests of one kind.
type crowd struct {
	running sync.WaitGroup
	sending sync.WaitGroup
	cancel  context.CancelFunc
}

// startCrowd connects the clients and returns once each has sent what the server
// takes, or sendTimeout has passed. The connections stay open until stop.
func startCrowd(parent context.Context, address string, count int, k kind, path func(client int) string) *crowd {
	ctx, cancel := context.WithCancel(parent)
	c := &crowd{cancel: cancel}
	deadline := time.Now().Add(sendTimeout)
	for i := range count {
		pieces := k.pieces("POST", path(i))
		c.sending.Add(1)
		c.running.Go(func() {
			var once sync.Once
			sent := func() { once.Do(c.sending.Done) }
			defer sent()
			for attempt := 0; attempt <= returns && ctx.Err() == nil; attempt++ {
				if !runClient(ctx, address, pieces, k.delay, deadline, sent) {
					pause(ctx, returnDelay)
				}
			}
		})
	}
	c.sending.Wait()
	return c
}

// stop closes all connections of the crowd.
func (c *crowd) stop() {
	c.cancel()
	c.running.Wait()
}

// runClient sends the pieces on one connection and keeps it open until the server
// closes it or the context ends.
func runClient(ctx context.Context, address string, pieces [][]byte, delay time.Duration, deadline time.Time, sent func()) bool {
	dialer := net.Dialer{Deadline: deadline}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	if err := connection.SetWriteDeadline(deadline); err != nil {
		return false
	}
	for _, piece := range pieces {
		if _, err := connection.Write(piece); err != nil {
			break
		}
		if delay > 0 && !pause(ctx, delay) {
			return false
		}
	}
	if !time.Now().Before(deadline) {
		sent()
	}
	buffer := make([]byte, 512)
	stop := time.AfterFunc(time.Until(deadline), sent)
	defer stop.Stop()
	if err := connection.SetReadDeadline(time.Now().Add(settleTime)); err != nil {
		return false
	}
	for {
		_, err := connection.Read(buffer)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			// The server has taken what it takes and keeps the connection.
			sent()
			if connection.SetReadDeadline(time.Time{}) != nil {
				return false
			}
			continue
		}
		if err != nil {
			return false
		}
	}
}

// settleTime is how long a client waits for the server to close its connection before
// it counts as sent.
const settleTime = 500 * time.Millisecond

// pause waits, and returns false if the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
