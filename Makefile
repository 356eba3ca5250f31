# What a developer runs. Each command installs what the build needs and is missing.

CARGO ?= cargo
TARGET_DIR := $(or $(CARGO_TARGET_DIR),target)
BIN_DIR := $(TARGET_DIR)/debug

# Arguments for the test programs, such as `--exact --skip NAME`.
TEST_ARGS ?=

.PHONY: setup build release test demo up scenarios soak lint policy slopes bench

setup:
	scripts/setup

build: setup
	$(CARGO) build --workspace --bins --locked

# The scenarios start the programs, so these are built first.
test: setup build
	$(CARGO) test --workspace --locked --no-fail-fast -- $(TEST_ARGS)

demo: setup build
	$(BIN_DIR)/launcher demo
	$(BIN_DIR)/launcher entry-demo

up: build
	@exec $(BIN_DIR)/launcher up

scenarios: build
	$(BIN_DIR)/scenario run scenarios/*.scenario

# Arguments for the soak, such as `--seed 100 --seeds 50 --logs DIR`.
SOAK_ARGS ?= --seeds 4

soak: build
	$(BIN_DIR)/soak $(SOAK_ARGS)

lint:
	scripts/wire-names
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --locked -- -D warnings

policy:
	$(CARGO) run --release --locked -p apricotdale-policy-replay

# The measurements start the other programs, which must lie beside them.
release: setup
	$(CARGO) build --release --workspace --bins --locked

slopes: release
	$(TARGET_DIR)/release/fleet-slopes

bench: release
	$(TARGET_DIR)/release/overhead
