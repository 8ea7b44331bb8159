// Package examples holds the sample documents that the demo serves.
package examples

import "embed"

// Documents are the sample documents, DEPLOYMENT.yaml each.
//
//go:embed documents/*.yaml
var Documents embed.FS
