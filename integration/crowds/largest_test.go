package crowds_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"hawthornshore.example/platform/standin"
)

const (
	maxHead = 16384
	job     = `{"spec":"work","best-effort":true,"steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimated-ms":200}]`
)

// largestBody returns a job whose body has exactly the largest legal size.
func largestBody() []byte {
	body := job + strings.Repeat(" ", maxBody-len(job)-1) + "}"
	return append(head("/work/00000000000000a1", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...)
}

// largestHead returns a job whose head, with the blank line that ends it, has exactly
// the largest legal size.
func largestHead() []byte {
	body := job + "}"
	end := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	start := head("/work/00000000000000a2", "X-Filler: \r\n")
	filler := bytes.Repeat([]byte("x"), maxHead-len(start)-len(end))
	request := append(head("/work/00000000000000a2", "X-Filler: "), filler...)
	return append(request, "\r\n"+end+body...)
}

// maxDocument is the largest size of the operators' document.
const maxDocument = 8 << 20

// document returns a request with an operators' document of at least the given size.
func document(version int, limits string, size int) []byte {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":"desk.example","path-prefix":"/work/","timeout-ms":1500,`+
		`"latency-slo-ms":500,"priority":1,"service":"desk","max-attempts":3,"stretch":3}],"services":[{"name":"desk"}],"limits":%s`, version, limits)
	body += strings.Repeat(" ", max(size-len(body)-1, 0)) + "}"
	return append(head(standin.DocumentPath, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...)
}

// roundTrip sends a request and returns the status of its response.
func roundTrip(ctx context.Context, address string, request []byte) (int, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	if _, err := connection.Write(request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
