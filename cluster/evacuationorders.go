package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/wire"
)

// orderLifetime is how long after its receipt an order is proposed at most. Its caller
// gives the call up after this time and may have given another order since.
const orderLifetime = time.Second

// evacuationOutcome is the outcome of an order, as logged and counted.
type evacuationOutcome string

const (
	evacuationApplied  evacuationOutcome = "applied"
	evacuationInForce  evacuationOutcome = "in_force"
	evacuationConflict evacuationOutcome = "conflict"
	evacuationUnknown  evacuationOutcome = "unknown_data_centre"
	evacuationFailed   evacuationOutcome = "failed"
)

// OrderEvacuation starts or ends the evacuation of a data centre. It returns without
// an error once the log has the order and the core here follows it.
func (c *Coordinator) OrderEvacuation(ctx context.Context, dataCentre string, evacuate bool) error {
	received := boottimeNow()
	if !slices.Contains(c.evacuations.options.DataCentres, dataCentre) {
		evacuationOrderCounter(evacuationUnknown).Inc()
		return errors.NotFoundf("data centre %q", dataCentre)
	}
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	revision, outcome, err := c.orderEvacuation(ctx, received, dataCentre, evacuate)
	if err == nil {
		err = c.loop.passEvacuations(ctx)
	}
	if err != nil && outcome != evacuationConflict {
		outcome = evacuationFailed
	}
	evacuationOrderCounter(outcome).Inc()
	order := "finish"
	if evacuate {
		order = "start"
	}
	c.options.Logger.Info().Str("event", "evacuation_order").Str("data_centre", dataCentre).Str("order", order).
		Uint64("revision", revision).Str("outcome", string(outcome)).
		Int64("took_ms", (boottimeNow() - received).Milliseconds()).Err(err).Send()
	return errors.Trace(err)
}

// orderEvacuation reads the log to its end and proposes the order with the revision
// that it has found, unless the order is in force.
func (c *Coordinator) orderEvacuation(ctx context.Context, received time.Duration, dataCentre string, evacuate bool) (uint64, evacuationOutcome, error) {
	if err := c.logNode.readBarrier(ctx); err != nil {
		return 0, evacuationFailed, errors.Annotate(err, "read the log")
	}
	state := c.logNode.store.evacuationState(dataCentre)
	if state.Evacuated == evacuate {
		return state.Revision, evacuationInForce, nil
	}
	if err := checkOrderAge(ctx, received, boottimeNow()); err != nil {
		return state.Revision, evacuationFailed, err
	}
	answer, err := c.logNode.propose(ctx, &wire.LogCommand{Evacuation: &wire.EvacuationOrder{
		DataCentre: dataCentre, Evacuate: evacuate, Revision: state.Revision,
	}})
	if err != nil {
		return state.Revision, evacuationFailed, errors.Annotate(err, "propose")
	}
	applied := answer.GetEvacuationApplied()
	revision := applied.GetRevision()
	inForce := evacuation.State{Evacuated: evacuate, Revision: revision}
	switch applied.GetOutcome() {
	case wire.EvacuationOutcome_EVACUATION_OUTCOME_APPLIED:
		inForce.SinceUnixMS = time.Now().UnixMilli()
		c.evacuations.adopt(dataCentre, inForce)
		return revision, evacuationApplied, nil
	case wire.EvacuationOutcome_EVACUATION_OUTCOME_IN_FORCE:
		c.evacuations.adopt(dataCentre, inForce)
		return revision, evacuationInForce, nil
	case wire.EvacuationOutcome_EVACUATION_OUTCOME_CONFLICT:
		return revision, evacuationConflict, errors.Errorf("another order for data centre %s came first", dataCentre)
	}
	return revision, evacuationFailed, errors.Errorf("the leader has an earlier version")
}

// checkOrderAge returns an error if the caller of an order has given it up.
func checkOrderAge(ctx context.Context, received, now time.Duration) error {
	if err := ctx.Err(); err != nil {
		return errors.Annotate(err, "caller has left")
	}
	if now-received >= orderLifetime {
		return errors.Errorf("order is %s old", now-received)
	}
	return nil
}
