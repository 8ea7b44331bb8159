//go:build review

package main

// deskConfig is a configuration by its version, the service of the route "act" and the keys of tenant w2.
const deskConfig = `{"version":%d,"routes":[
 {"name":"draft","host":"h","pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"engines","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":250},
 {"name":"act","host":"h","pathPrefix":"/act/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"%s","maxAttempts":1,"anonymous":false},
 {"name":"read","host":"h","pathPrefix":"/read/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk-old","maxAttempts":2,"anonymous":false}],
 "services":[{"name":"engines","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":153150,"models":[{"name":"base","weightsMb":72700.0,"loadS":2.9,"adapters":3000,"adapterMb":66.0}],"weightsMb":76000.0,"adapterSlots":28,"loadsPerS":3.6}},
  {"name":"desk-old","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false},{"name":"desk-new","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w1","apiKeys":["key-1"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870},
  {"name":"w2","apiKeys":[%s],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`
