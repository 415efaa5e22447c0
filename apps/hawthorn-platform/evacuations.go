package main

import (
	"encoding/json"
	"net/http"

	"hawthornshore.example/cluster"
	"hawthornshore.example/operatorapi"
)

// evacuationsHandler returns the handler of the evacuated data centres.
func evacuationsHandler(coordinator *cluster.Coordinator) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		evacuated, confirmed := coordinator.Evacuations()
		reply := operatorapi.Evacuations{Evacuations: []operatorapi.Evacuation{}, Confirmed: confirmed}
		for _, e := range evacuated {
			reply.Evacuations = append(reply.Evacuations, operatorapi.Evacuation(e))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply) // the server handles a closed connection
	}
}
