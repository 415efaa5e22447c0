package cluster

import (
	"context"

	"hawthornshore.example/placement"
)

// Targets sends orders to targets. Its methods return placement.Unknown if the
// order may have been executed without a response. They are called concurrently.
type Targets interface {
	Start(ctx context.Context, order *placement.StartOrder) placement.OrderResponse
	Stop(ctx context.Context, order *placement.StopOrder) placement.OrderResponse
	Poll(ctx context.Context, order *placement.PollOrder) placement.OrderResponse
}
