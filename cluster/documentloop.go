package cluster

import (
	"context"
	"time"

	"hawthornshore.example/cluster/documents"
	"hawthornshore.example/ring"
	"hawthornshore.example/wire"
)

const (
	// documentEventRingSize is the number of events that may wait for the document loop.
	documentEventRingSize = 1024
	// maxDocumentIdle is the longest wait of the document loop for an event.
	maxDocumentIdle = time.Second
	// documentBehindAfter is the lag of the document after which it is logged. Callers
	// are promised that a change is in force within 2 s and more.
	documentBehindAfter = time.Second
)

// documentLoop keeps a gateway's document up to date. It owns the fetcher.
type documentLoop struct {
	gateway     *Gateway
	fetcher     *documents.Fetcher
	events      *ring.Ring[documentEvent]
	lagReported bool // document_behind was logged for the present lag
}

// documentEvent is a message of a coordinator, or the loss of the link to it.
type documentEvent struct {
	peer      string
	local     bool // the coordinator is in the data centre of the gateway
	announced uint64
	piece     *wire.DocumentPiece
	pushed    *wire.DocumentState // from a coordinator of an earlier version
	lost      bool
}

func newDocumentLoop(g *Gateway) *documentLoop {
	return &documentLoop{
		gateway: g,
		fetcher: documents.NewFetcher(g.options.Name),
		events:  ring.New[documentEvent](documentEventRingSize),
	}
}

// push queues an event. If the ring is full the event is dropped: announcements are
// repeated with each heartbeat, and requests without an answer time out.
func (l *documentLoop) push(event documentEvent) {
	if err := l.events.Push(event); err != nil {
		l.gateway.options.Logger.Error().Str("event", "document_event_lost").Str("peer", event.peer).Err(err).Send()
	}
}

func (l *documentLoop) run(ctx context.Context) error {
	timer := time.NewTimer(maxDocumentIdle)
	defer timer.Stop()
	var events []documentEvent
	for {
		select {
		case <-l.events.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		events = l.events.PopAll(events[:0])
		for i := range events {
			l.process(&events[i])
		}
		l.request()
		l.reportLag()
		timer.Reset(l.untilWake())
	}
}

// untilWake returns how long the loop may wait for an event.
func (l *documentLoop) untilWake() time.Duration {
	now := time.Now()
	wait := maxDocumentIdle
	if wake := l.fetcher.NextWake(now); !wake.IsZero() {
		wait = min(wait, wake.Sub(now))
	}
	if since, _ := l.fetcher.BehindSince(); !since.IsZero() && !l.lagReported {
		wait = min(wait, since.Add(documentBehindAfter).Sub(now))
	}
	return max(wait, 0)
}

func (l *documentLoop) process(event *documentEvent) {
	switch {
	case event.lost:
		l.fetcher.Lost(event.peer)
	case event.piece != nil:
		l.receive(event.peer, event.piece)
	case event.pushed != nil:
		l.fetcher.Announced(time.Now(), event.peer, event.local, event.pushed.GetVersion())
		documentBytesReceived.Add(len(event.pushed.GetBody()))
		l.apply(event.peer, Document{Version: event.pushed.GetVersion(), Body: event.pushed.GetBody()})
	default:
		l.fetcher.Announced(time.Now(), event.peer, event.local, event.announced)
	}
}

// receive passes a piece to the fetcher, and applies the document if it is whole.
func (l *documentLoop) receive(peer string, message *wire.DocumentPiece) {
	documentBytesReceived.Add(len(message.GetData()))
	encoded, err := l.fetcher.Received(peer, &documents.Piece{
		Version: message.GetVersion(), Total: message.GetTotal(), Checksum: message.GetChecksum(),
		Offset: message.GetOffset(), Data: message.GetData(),
	})
	if encoded != nil {
		var body []byte
		if body, err = encoded.Body(); err == nil {
			l.apply(peer, Document{Version: encoded.Version, Body: body})
			return
		}
		l.fetcher.Finished(time.Now(), encoded.Version) // the next request would give the same
	}
	if err != nil {
		l.gateway.options.Logger.Error().Str("event", "document_unreadable").Str("peer", peer).
			Uint64("version", message.GetVersion()).Err(err).Send()
	}
}

// apply makes the gateway obey a document, unless it obeys that or a newer one.
func (l *documentLoop) apply(peer string, document Document) {
	applied := l.gateway.applyDocument(&document)
	lag := l.fetcher.Finished(time.Now(), document.Version)
	if applied == nil {
		return
	}
	l.lagReported = false
	_, newest := l.fetcher.BehindSince()
	observeDocument(document.Version, lag)
	l.gateway.options.Logger.Info().Str("event", "document_adopted").Uint64("version", document.Version).Str("peer", peer).
		Int("queues", len(applied.Queues)).Int("bytes", len(document.Body)).
		Int64("behind_ms", ms(lag)).Uint64("newest", newest).Send()
}

// request sends the next request of the fetcher.
func (l *documentLoop) request() {
	for {
		request, ok := l.fetcher.Next(time.Now())
		if !ok {
			return
		}
		err := l.gateway.mesh.Send(request.Peer, &wire.Envelope{Body: &wire.Envelope_DocumentRequest{
			DocumentRequest: &wire.DocumentRequest{Version: request.Version, Offset: request.Offset},
		}})
		if err == nil {
			return
		}
		l.gateway.options.Logger.Warn().Str("event", "document_not_requested").Str("peer", request.Peer).Err(err).Send()
		l.fetcher.Lost(request.Peer)
	}
}

// reportLag logs once that the document has been out of date for long.
func (l *documentLoop) reportLag() {
	since, newest := l.fetcher.BehindSince()
	behind := time.Since(since)
	if since.IsZero() || behind < documentBehindAfter || l.lagReported {
		return
	}
	l.lagReported = true
	var held uint64
	if deployment := l.gateway.Deployment(); deployment != nil {
		held = deployment.Version
	}
	l.gateway.options.Logger.Warn().Str("event", "document_behind").Uint64("version", held).
		Uint64("newest", newest).Int64("behind_ms", ms(behind)).Send()
}
