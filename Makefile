.PHONY: build test lint demo bench fmt

build:
	script/build

test:
	script/test

lint:
	script/lint

fmt:
	script/tools
	for m in $$(script/modules); do (cd $${m%/...} && ../.bin/golangci-lint fmt -c ../.golangci.yml ./...); done

demo: build
	script/demo

bench: build
	script/bench
