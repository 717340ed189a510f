package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire has the names of the users' pages by those of the stand-ins. Outside the folder platform no
// Go file of the project uses them.
var wire = readWire()

func readWire() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
