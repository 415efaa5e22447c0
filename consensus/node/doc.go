// Package node runs one member of the replicated log: it connects the
// consensus core to a disk, a transport and a state machine.
//
//	disk, persisted, err := storage.Open(storage.Options{FS: folder, Instance: "a"})
//	store := sysstate.NewStore()
//	n, err := node.Start(ctx, node.Options{
//		Name: "a", Incarnation: disk.Incarnation(), Persisted: persisted,
//		Peers: []string{"a", "b", "c"},
//		DisableBootstrap: disk.OpenResult() == storage.LogLost || disk.OpenResult() == storage.Foreign,
//		Storage: disk, Transport: links, StateMachine: store,
//		OnApplied: func(node.Applied) { ... },
//	})
//	answer, err := n.Propose(ctx, command) // on the leader
//
// The transport calls Receive for every message that arrives. Messages may be
// lost, repeated and reordered. Cancelling the context stops the node; Wait
// returns after its goroutines have ended, and only then may the disk be
// closed. Wait also returns, with an error, when the disk fails for a reason
// other than being full or when the core emits Failed; the instance then
// continues without being a member.
//
// # Names and member IDs
//
// Callers use instance names. A member ID is the name and the incarnation of
// the disk, joined by "@", so that an instance with a replaced disk is a new
// member.
//
// # Bootstrapping and joining a group
//
// An instance without a leader probes its peers. If all peers replied and none
// has a log, the peer whose name sorts first bootstraps the group. If a peer
// has a log, the leader adds a new instance as a learner, removes the voter of
// the same name that it replaces once the learner has caught up, and then
// promotes the learner. Removal comes first: the majority of the remaining
// voters is never larger than before, while a voter added next to a dead one
// would raise it.
//
// # Goroutines
//
// The core loop owns the core. The disk writer, the applier and the sender
// each have their own goroutine and are connected to the loop by bounded
// channels. The loop never blocks on them, and accepts no requests while the
// disk writer or the applier lags.
package node
