package settings

import "time"

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// Schemas returns the two schemas in the order of the reference page.
func Schemas() []*Schema { return []*Schema{&daemonSchema, &systemSchema} }

var daemonSchema = Schema{
	Name: "Daemon settings",
	Doc:  "The settings of one hawthornd process. They are read once, at its start.",
	Sections: []SectionSpec{
		{Type: "instance", Doc: "The instance itself.", Keys: []KeySpec{
			{Name: "name", Kind: KindName, Required: true, Doc: "Name of the instance, unique over all data centres."},
			{Name: "data_centre", Kind: KindName, Required: true, Doc: "Data centre in which the instance runs."},
			{Name: "listen_http", Kind: KindAddress, Default: "127.0.0.1:8080", Doc: "Address on which callers, targets and operators are served over HTTP; port 0 selects a free port."},
			{Name: "listen_link", Kind: KindAddress, Default: "127.0.0.1:8081", Doc: "Address on which links from other instances are accepted; port 0 selects a free port."},
			{Name: "data_folder", Kind: KindPath, Doc: "Folder for durable state; an instance that has one is a voter."},
			{Name: "log_level", Kind: KindChoice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level of the events that are logged."},
		}},
		{Type: "peer", Named: true, Doc: "A statically configured instance. All instances may share one file with the peers; an instance skips the entry that has its own name.", Keys: []KeySpec{
			{Name: "link", Kind: KindAddress, Required: true, Min: 1, Doc: "Address on which the peer accepts links."},
			{Name: "data_centre", Kind: KindName, Required: true, Doc: "Data centre in which the peer runs."},
			{Name: "voter", Kind: KindBool, Default: "false", Doc: "Whether the peer has a data folder and votes."},
		}},
		{Type: "tls", Doc: "Files in PEM format. Without a certificate the traffic is not encrypted.", Keys: []KeySpec{
			{Name: "link_certificate", Kind: KindPath, Doc: "Certificate that the instance presents on links, in both directions."},
			{Name: "link_key", Kind: KindPath, Doc: "Private key of link_certificate."},
			{Name: "link_authority", Kind: KindPath, Doc: "Certificate authority that must have signed the certificates of peers."},
			{Name: "operator_certificate", Kind: KindPath, Doc: "Certificate that the instance presents on its HTTP address."},
			{Name: "operator_key", Kind: KindPath, Doc: "Private key of operator_certificate."},
			{Name: "operator_authority", Kind: KindPath, Doc: "Certificate authority that must have signed the certificates of operators' clients."},
		}},
		{Type: "limits", Doc: "Bounds on the daemon's use of resources.", Keys: []KeySpec{
			{Name: "drain_delay", Kind: KindDuration, Default: "3s", Min: 0, Max: float64(time.Minute), Doc: "Time that a stopping instance reports not ready before it refuses connections, so that the load balancer removes it first."},
			{Name: "drain_timeout", Kind: KindDuration, Default: "30s", Min: float64(time.Second), Max: float64(time.Hour), Doc: "Longest time that a planned stop waits for requests in flight."},
			{Name: "max_connections", Kind: KindInteger, Default: "8192", Min: 16, Max: 1_000_000, Unit: "connections", Doc: "Most connections that are open on the HTTP address at once."},
			{Name: "header_timeout", Kind: KindDuration, Default: "5s", Min: float64(100 * time.Millisecond), Max: float64(time.Minute), Doc: "Longest time that a client may take to send the headers of a request."},
			{Name: "max_header_size", Kind: KindSize, Default: "64kB", Min: 4 * kilobyte, Max: megabyte, Doc: "Largest headers of a request."},
			{Name: "idle_timeout", Kind: KindDuration, Default: "2m", Min: float64(time.Second), Max: float64(time.Hour), Doc: "Longest time that a connection stays open without a request, and that the body of a request or the reading of a response may stop."},
			{Name: "max_request_memory", Kind: KindSize, Default: "64MB", Min: 8 * megabyte, Max: 100_000 * megabyte, Doc: "Largest size of all request bodies that are held at once; beyond it, slow and large requests are closed or refused."},
		}},
	},
}

var systemSchema = Schema{
	Name: "System configuration",
	Doc:  "The classes and tenants that all instances share. It is checked and applied with hawthornctl and replicated by the voters.",
	Sections: []SectionSpec{
		{Type: "class", Named: true, Doc: "A class of jobs with its own rank, share of slots and queue limit.", Keys: []KeySpec{
			{Name: "rank", Kind: KindInteger, Default: "100", Min: 0, Max: 1000, Unit: "rank", Doc: "Order in which classes are served when capacity is short; rank 0 is served first."},
			{Name: "share_percent", Kind: KindNumber, Default: "0", Min: 0, Max: 100, Unit: "percent of slots", Doc: "Part of the slots that is protected for the class; 0 derives it from the demand, and all classes together have at most 100."},
			{Name: "max_queue", Kind: KindInteger, Default: "10000", Min: 1, Max: 10_000_000, Unit: "tasks", Doc: "Most tasks of the class that wait at one instance; further jobs are refused."},
		}},
		{Type: "tenant", Named: true, Doc: "A customer account whose jobs share the capacity with those of others.", Keys: []KeySpec{
			{Name: "weight", Kind: KindNumber, Default: "1", Min: 0.001, Max: 1000, Unit: "relative weight", Doc: "Share of the tenant within a class, relative to the other tenants."},
			{Name: "quota_slots", Kind: KindInteger, Default: "0", Min: 0, Max: 10_000_000, Unit: "slots", Doc: "Most slots that the tenant uses at once in a data centre; 0 is unbounded."},
		}},
	},
}
