package operatorapi

// Paths of an instance's HTTP server.
const (
	PathStatus  = "/v1/status"         // GET Status
	PathMembers = "/v1/members"        // GET Members
	PathTargets = "/v1/targets"        // GET Targets; targets announce themselves by POST
	PathClasses = "/v1/classes"        // GET Classes
	PathConfig  = "/v1/config"         // GET Config, PUT ApplyRequest
	PathHistory = "/v1/config/history" // GET History
	PathDrain   = "/v1/drain"          // POST DrainRequest
	PathJobs    = "/v1/jobs"           // POST structs.Job
	PathJob     = "/v1/jobs/{id}"      // GET queries, DELETE cancels; with data_centre in the query
)

// QueryDataCentre is the query parameter that names a job's home.
const QueryDataCentre = "data_centre"

// QueryLimit is the query parameter that bounds the entries of a History.
const QueryLimit = "limit"
