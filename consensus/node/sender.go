package node

import (
	"context"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

// send encodes messages and passes them to the transport.
func send(ctx context.Context, transport Transport, outbox <-chan *consensus.Message) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-outbox:
			data, err := consensus.Encode(message)
			if err != nil {
				return errors.Annotatef(err, "encode message peer=%s", message.To)
			}
			transport.Send(InstanceName(message.To), data)
		}
	}
}
