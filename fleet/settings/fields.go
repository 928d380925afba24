package settings

import "github.com/lynxshed/lynxshed/fleet/settings/schema"

const maxMs = 3_600_000

// fields is the schema of the settings of a node.
var fields = schema.Schema{Fields: []schema.Field{
	{Name: "node", Required: true, Text: schema.Name},
	{Name: "zone", Required: true, Text: schema.Name},
	{Name: "listen", Required: true, Text: schema.Address},
	{Name: "advertise", Required: true, Text: schema.URL},
	{Name: "platform", Required: true, Text: schema.URL},
	{Name: "peers", List: schema.URL},
	{Name: "fleetKeyFile", Required: true, Text: schema.NonEmpty},
	{Name: "operatorHashesFile", Required: true, Text: schema.NonEmpty},
	{Name: "slots", Number: schema.Whole(1, 4096)},
	{Name: "timing", Fields: []schema.Field{
		{Name: "beatMs", Number: schema.Whole(10, maxMs)},
		{Name: "suspectMs", Number: schema.Whole(50, maxMs)},
		{Name: "flushMs", Number: schema.Whole(10, maxMs)},
		{Name: "ledgerMs", Number: schema.Whole(0, maxMs)},
		{Name: "pollMs", Number: schema.Whole(10, maxMs)},
		{Name: "listMs", Number: schema.Whole(10, maxMs)},
		{Name: "drainMs", Number: schema.Whole(0, maxMs)},
	}},
	{Name: "limits", Fields: []schema.Field{
		{Name: "bodyBytes", Number: schema.Whole(1024, 64<<20)},
		{Name: "headerBytes", Number: schema.Whole(1024, 1<<20)},
		{Name: "memoryMB", Number: schema.Number(0, 1<<24)},
		{Name: "maxFiles", Number: schema.Whole(0, 1<<24)},
	}},
	{Name: "log", Fields: []schema.Field{
		{Name: "format", Text: schema.OneOf("json", "text")},
		{Name: "level", Text: schema.OneOf("debug", "info", "warn", "error")},
	}},
	{Name: "trace", Fields: []schema.Field{
		{Name: "otlpEndpoint", Text: schema.OrEmpty(schema.URL)},
		{Name: "file", Text: func(string) string { return "" }},
	}},
}}
