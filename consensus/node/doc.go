// Package node runs one member of the replicated log: it connects the
// consensus core to a disk, a transport and a state machine.
//
//	disk, persisted, err := storage.Open(storage.Options{FS: folder, Instance: "a"})
//	store := sysstate.NewStore()
//	n, err := node.Start(ctx, node.Options{
//		Name: "a", Incarnation: disk.Incarnation(), Persisted: persisted,
//		Peers: []string{"a", "b", "c"},
//		DisableBootstrap: disk.Verdict() == storage.Lost || disk.Verdict() == storage.Foreign,
//		Storage: disk, Transport: links, StateMachine: store,
//		OnApplied: func(node.Applied) { ... },
//	})
//	answer, err := n.Propose(ctx, command) // on the leader
//
// The transport calls Receive for every message that arrives. Messages may be
// lost, repeated and reordered. Cancelling the context stops the node; Wait
// returns after its goroutines have ended, and only then may the disk be
// closed. Wait also returns, with an error, when the disk fails for another
// reason than being full or when the log contradicts itself; the instance then
// goes on without being a member.
//
// # Names and member IDs
//
// Callers use instance names. A member ID is the name and the incarnation of
// the disk, joined by "@", so that an instance with a replaced disk is another
// member than before.
//
// # Forming and joining a group
//
// An instance without a log asks its peers for theirs. If no peer has a log
// and all peers answered, the peer with the first name in sorted order forms
// the group. If a peer has a log, the leader adds the instance as a learner,
// removes the voter of the same name that it replaces once the learner has
// caught up, and then promotes the learner. Removal comes first: the majority
// of the remaining voters is never larger than the one before, while an added
// voter beside a dead one would raise it.
//
// # Goroutines
//
// The core loop owns the core. The disk writer, the applier and the sender
// each have their own goroutine and are joined to the loop by bounded
// channels. The loop never waits for them, and stops taking requests while one
// of them lags.
package node
