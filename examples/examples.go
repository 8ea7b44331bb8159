// Package examples holds the sample documents that the demo serves.
package examples

import "embed"

// Documents holds the sample configuration documents, documents/DEPLOYMENT.yaml.
//
//go:embed documents/*.yaml
var Documents embed.FS
