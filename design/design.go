// Package design declares the HTTP APIs of waxwingspindle in the goa DSL. The code generated from it is committed under
// gen, so that builds do not need the generator.
package design

//lint:file-ignore ST1001 goa designs are written with a dot import of the DSL

import (
	. "goa.design/goa/v3/dsl"
)

const (
	maxSQLBytes       = 256 << 10
	maxArguments      = 1000
	maxRequestIDBytes = 128
	maxTokenBytes     = 4096
	maxNameBytes      = 128
)

var _ = API("waxwingspindle", func() {
	Title("waxwingspindle")
	Description("A database proxy with session consistency.")
	Server("caller", func() {
		Services("caller")
		Host("local", func() { URI("http://127.0.0.1:7400") })
	})
	Server("operator", func() {
		Services("operator")
		Host("local", func() { URI("http://127.0.0.1:7401") })
	})
	Server("platform", func() {
		Services("platform")
		Host("local", func() { URI("http://127.0.0.1:7500") })
	})
})

// Refusal is the error body of the callers' API.
var Refusal = Type("Refusal", func() {
	Description("An answer other than done, with the outcome of the request.")
	ErrorName("name", String, "Class of the refusal")
	Attribute("outcome", String, "Outcome of the request: not_run or unknown", func() { Enum("not_run", "unknown") })
	Attribute("reason", String, "Stable reason code")
	Attribute("detail", String, "Explanation for people")
	Attribute("retry_after_ms", Int64, "Time in milliseconds after which a repetition may succeed")
	Attribute("retry_after", String, "The same time in whole seconds, for the Retry-After header")
	Attribute("request_id", String, "Request id, given by the caller or generated")
	Required("name", "outcome", "reason", "detail", "request_id")
})

// refusals declares the errors of a method for callers.
func refusals() {
	Error("bad_request", Refusal)
	Error("unauthorized", Refusal)
	Error("forbidden", Refusal)
	Error("not_found", Refusal)
	Error("conflict", Refusal)
	Error("statement_refused", Refusal)
	Error("rate_exceeded", Refusal)
	Error("unavailable", Refusal)
	Error("outcome_unknown", Refusal)
}

// refusalResponses maps the errors of a method for callers to HTTP status codes.
func refusalResponses() {
	Response("bad_request", StatusBadRequest)
	Response("unauthorized", StatusUnauthorized)
	Response("forbidden", StatusForbidden)
	Response("not_found", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("statement_refused", StatusUnprocessableEntity)
	Response("rate_exceeded", StatusTooManyRequests, func() { Header("retry_after:Retry-After") })
	Response("unavailable", StatusServiceUnavailable, func() { Header("retry_after:Retry-After") })
	Response("outcome_unknown", StatusGatewayTimeout)
}

// callerAttributes declares the common attributes of requests that a caller's key authenticates.
func callerAttributes() {
	Attribute("authorization", String, "Bearer and the caller's key")
	Attribute("session_token", String, "Session token of the previous answer", func() { MaxLength(maxTokenBytes) })
	Attribute("request_id", String, "Request id that makes a repetition safe", func() { MaxLength(maxRequestIDBytes) })
	Attribute("timeout_ms", Int64, "Time the caller waits, in milliseconds", func() {
		Minimum(1)
		Maximum(600000)
	})
	Attribute("service", String, "Service that the request is for", func() { MaxLength(maxNameBytes) })
	Required("service")
}

// callerHeaders maps the common attributes of callers' requests to HTTP headers.
func callerHeaders() {
	Header("authorization:Authorization")
	Header("session_token:X-Session-Token")
	Header("request_id:X-Request-Id")
	Header("timeout_ms:X-Timeout-Ms")
}

var _ = Service("caller", func() {
	Description("Statements and transactions of callers.")

	Method("execute", func() {
		Description("Run one statement, alone or in a transaction.")
		Payload(func() {
			callerAttributes()
			Attribute("sql", String, "One SQL statement", func() {
				MinLength(1)
				MaxLength(maxSQLBytes)
			})
			Attribute("args", ArrayOf(Any), "Arguments for $1, $2 and so on", func() { MaxLength(maxArguments) })
			Attribute("read_only", Boolean, "The statement only reads")
			Attribute("idempotent", Boolean, "The statement may run more than once")
			Attribute("max_staleness_ms", Int64, "Accept data of this age in milliseconds", func() { Minimum(0) })
			Attribute("transaction", String, "Transaction handle", func() { MaxLength(maxTokenBytes) })
			Required("sql")
		})
		Result(func() {
			Attribute("outcome", String, "Always done")
			Attribute("columns", ArrayOf(String), "Column names")
			Attribute("rows", ArrayOf(ArrayOf(Any)), "Rows as text values or null")
			Attribute("rows_affected", Int64, "Rows that the statement changed or returned")
			Attribute("duplicate", Boolean, "The request id had already run; it was not run again")
			Attribute("target", String, "Target that served the request")
			Attribute("request_id", String, "Request id, given by the caller or generated")
			Attribute("session_token", String, "Session token for the next request")
			Required("outcome", "columns", "rows", "rows_affected", "duplicate", "target", "request_id", "session_token")
		})
		refusals()
		HTTP(func() {
			POST("/v1/services/{service}/statements")
			callerHeaders()
			Response(StatusOK, func() { Header("session_token:X-Session-Token") })
			refusalResponses()
		})
	})

	Method("begin", func() {
		Description("Begin a transaction.")
		Payload(callerAttributes)
		Result(func() {
			Attribute("outcome", String, "Always done")
			Attribute("transaction", String, "Transaction handle")
			Attribute("request_id", String, "Request id")
			Attribute("session_token", String, "Session token for the next request")
			Required("outcome", "transaction", "request_id", "session_token")
		})
		refusals()
		HTTP(func() {
			POST("/v1/services/{service}/transactions")
			callerHeaders()
			Response(StatusOK, func() { Header("session_token:X-Session-Token") })
			refusalResponses()
		})
	})

	for _, end := range []string{"commit", "rollback"} {
		Method(end, func() {
			Description("End a transaction by " + end + ".")
			Payload(func() {
				callerAttributes()
				Attribute("transaction", String, "Transaction handle", func() { MaxLength(maxTokenBytes) })
				Required("transaction")
			})
			Result(func() {
				Attribute("outcome", String, "Always done")
				Attribute("request_id", String, "Request id")
				Attribute("session_token", String, "Session token for the next request")
				Required("outcome", "request_id", "session_token")
			})
			refusals()
			HTTP(func() {
				POST("/v1/services/{service}/transactions/{transaction}/" + end)
				callerHeaders()
				Response(StatusOK, func() { Header("session_token:X-Session-Token") })
				refusalResponses()
			})
		})
	}

	Method("status", func() {
		Description("State of this host for callers. Open to all.")
		Result(func() {
			Attribute("host", String, "Host id")
			Attribute("state", String, "serving, stale or draining")
			Attribute("configuration_version", UInt64, "Version in force")
			Required("host", "state", "configuration_version")
		})
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
		})
	})

	Method("healthz", func() {
		Description("Health for the balancer. Open to all.")
		Error("unavailable", Refusal)
		HTTP(func() {
			GET("/healthz")
			Response(StatusNoContent)
			Response("unavailable", StatusServiceUnavailable)
		})
	})
})

// OperatorFailure is the error body of the operators' API.
var OperatorFailure = Type("OperatorFailure", func() {
	ErrorName("name", String, "Class of the failure")
	Attribute("reason", String, "Stable reason code")
	Attribute("detail", String, "Explanation for people")
	Attribute("problems", ArrayOf(String), "One line for each problem or difference")
	Attribute("version", UInt64, "Version in force")
	Required("name", "reason", "detail", "problems", "version")
})

// operatorFailures declares the errors of the operators' API.
func operatorFailures() {
	Error("invalid", OperatorFailure)
	Error("unauthorized", OperatorFailure)
	Error("conflict", OperatorFailure)
	Error("not_found", OperatorFailure)
	Error("unavailable", OperatorFailure)
}

// operatorResponses maps success and the errors of the operators' API to HTTP status codes.
func operatorResponses() {
	Response(StatusOK)
	Response("invalid", StatusBadRequest)
	Response("unauthorized", StatusUnauthorized)
	Response("conflict", StatusConflict)
	Response("not_found", StatusNotFound)
	Response("unavailable", StatusServiceUnavailable)
}

func operatorTokenAttribute() {
	Attribute("authorization", String, "Bearer and the operator's token")
}

// declarationAttributes declares a base file and its overlays.
func declarationAttributes() {
	Attribute("base", String, "Base file in INI")
	Attribute("overlays", MapOf(String, String), "Overlay files in INI by data centre")
	Required("base")
}

// Change is the response to an accepted change.
var Change = Type("Change", func() {
	Attribute("version", UInt64, "Version of the configuration that has the change")
	Attribute("changed", Boolean, "False when the configuration already was as asked")
	Attribute("differences", ArrayOf(String), "One line for each difference")
	Attribute("confirmed", ArrayOf(String), "Hosts that have the version in force")
	Attribute("unconfirmed", ArrayOf(String), "Hosts that have not confirmed the version yet")
	Required("version", "changed", "differences", "confirmed", "unconfirmed")
})

var _ = Service("operator", func() {
	Description("Configuration, keys and state for operators.")
	operatorFailures()

	Method("config_show", func() {
		Payload(operatorTokenAttribute)
		Result(func() {
			Attribute("version", UInt64, "Version in force on this host")
			Attribute("base", String, "Base file in INI")
			Attribute("overlays", MapOf(String, String), "Overlay files in INI by data centre")
			Attribute("document", Any, "Services, workspaces and keys; secrets are left out")
			Required("version", "base", "overlays", "document")
		})
		HTTP(func() {
			GET("/v1/config")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("config_diff", func() {
		Payload(func() {
			operatorTokenAttribute()
			declarationAttributes()
		})
		Result(func() {
			Attribute("version", UInt64, "Version that the difference is against")
			Attribute("differences", ArrayOf(String), "One line for each difference")
			Required("version", "differences")
		})
		HTTP(func() {
			POST("/v1/config/diff")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("config_apply", func() {
		Payload(func() {
			operatorTokenAttribute()
			declarationAttributes()
			Attribute("expected_version", UInt64, "Version that the operator has seen")
			Attribute("change_id", String, "Id of the change, the same in each repetition")
			Required("expected_version")
		})
		Result(Change)
		HTTP(func() {
			POST("/v1/config")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("key_create", func() {
		Payload(func() {
			operatorTokenAttribute()
			Attribute("workspace", String, "Workspace that the key is for")
			Attribute("change_id", String, "Id of the change, the same in each repetition")
			Required("workspace")
		})
		Result(func() {
			Attribute("key", String, "The key; it is shown once")
			Attribute("key_id", String, "Id of the key")
			Attribute("change", Change)
			Required("key", "key_id", "change")
		})
		HTTP(func() {
			POST("/v1/keys")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("key_withdraw", func() {
		Payload(func() {
			operatorTokenAttribute()
			Attribute("key_id", String, "Id of the key")
			Attribute("change_id", String, "Id of the change, the same in each repetition")
			Required("key_id")
		})
		Result(Change)
		HTTP(func() {
			DELETE("/v1/keys/{key_id}")
			Header("authorization:Authorization")
			Param("change_id")
			operatorResponses()
		})
	})
	Method("workspace_set", func() {
		Payload(func() {
			operatorTokenAttribute()
			Attribute("workspace", String, "Name of the workspace")
			Attribute("rate", Float64, "Statements a second", func() { Minimum(0) })
			Attribute("burst", Float64, "Statements at once", func() { Minimum(0) })
			Attribute("services", ArrayOf(String), "Services that the workspace may use")
			Attribute("expected_version", UInt64, "Version that the operator has seen; 0 accepts any")
			Attribute("change_id", String, "Id of the change, the same in each repetition")
			Required("workspace")
		})
		Result(Change)
		HTTP(func() {
			PUT("/v1/workspaces/{workspace}")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("status", func() {
		Payload(operatorTokenAttribute)
		Result(func() {
			Attribute("host", String, "Host id")
			Attribute("data_centre", String, "Data centre of the host")
			Attribute("incarnation", UInt64, "Incarnation of the host")
			Attribute("state", String, "serving, stale or draining")
			Attribute("configuration_version", UInt64, "Version in force")
			Attribute("roster_version", UInt64, "Version of the roster")
			Attribute("proof", String, "Kind of freshness proof: store, outage or none")
			Attribute("proof_age_ms", Int64, "Age of the proof in milliseconds")
			Attribute("members", ArrayOf(Member))
			Attribute("services", ArrayOf(ServiceStatus))
			Required("host", "data_centre", "incarnation", "state", "configuration_version", "roster_version",
				"proof", "proof_age_ms", "members", "services")
		})
		HTTP(func() {
			GET("/v1/status")
			Header("authorization:Authorization")
			operatorResponses()
		})
	})
	Method("drain", func() {
		Payload(operatorTokenAttribute)
		HTTP(func() {
			POST("/v1/drain")
			Header("authorization:Authorization")
			Response(StatusAccepted)
			Response("unauthorized", StatusUnauthorized)
			Response("invalid", StatusBadRequest)
			Response("conflict", StatusConflict)
			Response("not_found", StatusNotFound)
			Response("unavailable", StatusServiceUnavailable)
		})
	})
})

// Member is a host of the fleet in the membership table of the responding host.
var Member = Type("Member", func() {
	Attribute("host", String, "Host id")
	Attribute("address", String, "Address for daemons")
	Attribute("data_centre", String, "Data centre of the host")
	Attribute("state", String, "alive, suspect, dead or left")
	Attribute("configuration_version", UInt64, "Version it has in force, as last heard")
	Required("host", "address", "data_centre", "state", "configuration_version")
})

// ServiceStatus is the state of a service as observed by the responding host.
var ServiceStatus = Type("ServiceStatus", func() {
	Attribute("service", String, "Name of the service")
	Attribute("home", String, "Host that is home of the service")
	Attribute("term", UInt64, "Term of the primary, 0 when unknown")
	Attribute("primary", String, "Target that is primary, empty when unknown")
	Attribute("targets", ArrayOf(TargetStatus))
	Required("service", "home", "term", "primary", "targets")
})

// TargetStatus is the state of a target as observed by the home of its service.
var TargetStatus = Type("TargetStatus", func() {
	Attribute("target", String, "Target id")
	Attribute("address", String, "Address of the target")
	Attribute("state", String, "up, down, leaving or unknown")
	Attribute("role", String, "primary, replica or unknown")
	Attribute("log_term", UInt64, "Term of the last log entry")
	Attribute("log_offset", UInt64, "Offset of the last log entry")
	Required("target", "address", "state", "role", "log_term", "log_offset")
})

// Entry is a key-value pair in the platform's store.
var Entry = Type("Entry", func() {
	Attribute("key", String, "Key")
	Attribute("value", Bytes, "Value")
	Attribute("revision", UInt64, "Revision of the value; 0 when the key does not exist")
	Required("key", "revision")
})

var _ = Service("platform", func() {
	Description("The platform's key-value service and its list of hosts.")
	Error("unavailable")
	Error("not_found")
	Error("bad_request")

	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("not_found", StatusNotFound)
		Response("bad_request", StatusBadRequest)
	})

	Method("get", func() {
		Payload(func() {
			Attribute("key", String, "Key")
			Required("key")
		})
		Result(Entry)
		HTTP(func() {
			GET("/v1/kv")
			Param("key")
			Response(StatusOK)
		})
	})
	Method("swap", func() {
		Description("Store a value if the key has the expected revision.")
		Payload(func() {
			Attribute("key", String, "Key")
			Attribute("expected", UInt64, "Revision that the key must have; 0 when it must not exist")
			Attribute("value", Bytes, "Value, at most 1 MB")
			Attribute("lease", String, "Lease that the key is deleted with")
			Required("key", "expected", "value")
		})
		Result(func() {
			Attribute("swapped", Boolean, "The value was stored")
			Attribute("revision", UInt64, "Revision of the key after the call")
			Required("swapped", "revision")
		})
		HTTP(func() {
			PUT("/v1/kv")
			Param("key")
			Response(StatusOK)
		})
	})
	Method("watch", func() {
		Description("Wait until the key has a revision other than the given one, or the time is over.")
		Payload(func() {
			Attribute("key", String, "Key")
			Attribute("known", UInt64, "Revision that the client has")
			Attribute("wait_ms", Int64, "Time to wait in milliseconds", func() {
				Minimum(0)
				Maximum(60000)
			})
			Required("key", "known", "wait_ms")
		})
		Result(Entry)
		HTTP(func() {
			GET("/v1/kv/watch")
			Param("key")
			Param("known")
			Param("wait_ms")
			Response(StatusOK)
		})
	})
	Method("grant_lease", func() {
		Payload(func() {
			Attribute("ttl_ms", Int64, "Time to live in milliseconds", func() { Minimum(1) })
			Required("ttl_ms")
		})
		Result(func() {
			Attribute("lease", String, "Id of the lease")
			Required("lease")
		})
		HTTP(func() {
			POST("/v1/leases")
			Response(StatusOK)
		})
	})
	Method("renew_lease", func() {
		Payload(func() {
			Attribute("lease", String, "Id of the lease")
			Required("lease")
		})
		HTTP(func() {
			POST("/v1/leases/{lease}/renew")
			Response(StatusNoContent)
		})
	})
	Method("revoke_lease", func() {
		Payload(func() {
			Attribute("lease", String, "Id of the lease")
			Required("lease")
		})
		HTTP(func() {
			DELETE("/v1/leases/{lease}")
			Response(StatusNoContent)
		})
	})
	Method("hosts", func() {
		Description("List the live and leaving hosts; the list lags.")
		Result(ArrayOf(PlatformHost))
		HTTP(func() {
			GET("/v1/hosts")
			Response(StatusOK)
		})
	})
})

// PlatformHost is a host in the platform's host list.
var PlatformHost = Type("PlatformHost", func() {
	Attribute("id", String, "Host id")
	Attribute("address", String, "Address for daemons")
	Attribute("data_centre", String, "Data centre of the host")
	Attribute("state", String, "live or leaving", func() { Enum("live", "leaving") })
	Required("id", "address", "data_centre", "state")
})
