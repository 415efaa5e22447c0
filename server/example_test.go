package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"hawthornshore.example/emulator"
	"hawthornshore.example/server"
	"hawthornshore.example/structs"
)

// Embeds a single entry instance without voters, to which an emulated target
// announces itself.
func Example() {
	httpListener, _ := net.Listen("tcp", "127.0.0.1:0")
	linkListener, _ := net.Listen("tcp", "127.0.0.1:0")
	address := httpListener.Addr().String()
	instance := server.New(server.Options{
		Name:         "entry-1",
		DataCentre:   "north",
		Incarnation:  uint64(time.Now().UnixMilli()),
		HTTPListener: httpListener,
		LinkListener: linkListener,
		Config: structs.SystemConfig{
			Classes: map[string]structs.Class{"lot-check": {Name: "lot-check"}},
			Tenants: map[string]structs.Tenant{"weighbridge": {Name: "weighbridge", Weight: 1}},
		},
		Logger:        zerolog.Nop(),
		DrainTimeout:  5 * time.Second,
		HeaderTimeout: time.Second,
	})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- instance.Run(ctx) }()

	target, _ := emulator.New(emulator.Options{
		ID: "target-1", DataCentre: "north", Slots: 8, Listen: "127.0.0.1:0",
		Entries: []string{address}, Log: zerolog.Nop(),
	})
	go func() { _ = target.Serve() }()

	awaitReady(address, target)
	answer := submit(address, &structs.Job{
		ID:             structs.NewJobID(),
		DataCentre:     "north",
		Tenant:         "weighbridge",
		Class:          "lot-check",
		DeadlineUnixMS: time.Now().Add(10 * time.Second).UnixMilli(),
		Tasks: []structs.Task{
			{Payload: json.RawMessage(`{"run_ms":20}`), DeclaredMS: 20},
			{Payload: json.RawMessage(`{"run_ms":30}`), DeclaredMS: 30},
		},
	})
	fmt.Println(answer.Outcome, len(answer.Results))

	_ = target.Leave(context.Background())
	stop()
	fmt.Println(<-stopped)
	// Output:
	// complete 2
	// <nil>
}

// awaitReady waits for at most 20 s until the instance and its target are ready.
func awaitReady(address string, target *emulator.Target) {
	for range 200 {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK && target.Announcement().State == structs.TargetReady {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func submit(address string, job *structs.Job) structs.Answer {
	body, _ := json.Marshal(job)
	response, err := http.Post("http://"+address+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return structs.Answer{Message: err.Error()}
	}
	defer response.Body.Close()
	var answer structs.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer
}
