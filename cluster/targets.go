package cluster

import (
	"context"

	"hawthornshore.example/placement"
)

// Targets carries orders out. Its methods return placement.Unknown whenever the
// order may have been carried out without an answer; they are called from
// several goroutines.
type Targets interface {
	Start(ctx context.Context, order *placement.StartOrder) placement.OrderResponse
	Stop(ctx context.Context, order *placement.StopOrder) placement.OrderResponse
	Poll(ctx context.Context, order *placement.PollOrder) placement.OrderResponse
}
