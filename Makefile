# Builds the library, the tools, the stand-ins and the tests.
#   make             release build in build/release
#   make VARIANT=asan|tsan   the same under sanitizers in build/asan, build/tsan
#   make demo        main job: stand-ins, three routers, a chat and an order
#   make check       every test
#   make measure, make measure-fleet, make slopes   pages in docs/measurements

VARIANT ?= release
B := build/$(VARIANT)
# Where the program for the platform goes, with all that its build makes.
TARGET := target

PKGS := libtirpc libcurl jansson yaml-0.1 libxxhash argtable2 libsodium \
    libevent_core libevent_extra
CFLAGS_release := -O2 -g
CFLAGS_asan := -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer \
    -fno-sanitize-recover=all
CFLAGS_tsan := -O1 -g -fsanitize=thread

CC := gcc
CPPFLAGS := -D_GNU_SOURCE -Iinclude -Iplatform -Istandin/lib -Itests/lib $(shell pkg-config --cflags $(PKGS))
CFLAGS := -std=c11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -Wno-cast-function-type -pthread -Wl,--as-needed $(CFLAGS_$(VARIANT))
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lcivetweb -lurcu-bp \
    -lurcu-common -lhttp_parser -lz -lm -lpthread

LIB_SRC := $(filter-out source/tools/%,$(wildcard source/*/*.c platform/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
LIB := $(B)/libpoplarbeam.a

STANDIN_LIB_SRC := $(wildcard standin/lib/*.c)
STANDIN_LIB_OBJ := $(STANDIN_LIB_SRC:%.c=$(B)/%.o)

TOOLS := $(patsubst source/tools/%.c,$(B)/%,$(wildcard source/tools/*.c))
STANDINS := $(patsubst standin/%.c,$(B)/%,$(wildcard standin/*.c))
TESTS := $(patsubst tests/%.c,$(B)/%,$(wildcard tests/test-*.c))
MEASURES := $(patsubst tests/%.c,$(B)/%,$(wildcard tests/measure-*.c))
TEST_LIB_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard tests/lib/*.c))

all: $(LIB) $(TOOLS) $(STANDINS) $(TESTS) $(MEASURES)

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# rpcgen output is exempt from warnings that its generator causes.
$(B)/source/peer/peer_%.o $(B)/source/gateway/changes_%.o: CFLAGS += -Wno-unused-variable -Wno-missing-prototypes \
    -Wno-unused-parameter -Wno-strict-prototypes

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(TOOLS): $(B)/%: $(B)/source/tools/%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $< $(LIB) $(LDLIBS)

$(STANDINS): $(B)/%: $(B)/standin/%.o $(STANDIN_LIB_OBJ) $(LIB)
	$(CC) $(CFLAGS) -o $@ $< $(STANDIN_LIB_OBJ) $(LIB) $(LDLIBS)

$(TESTS) $(MEASURES): $(B)/%: $(B)/tests/%.o $(TEST_LIB_OBJ) $(LIB)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS) -lcunit

# Tests the parts of the load tool.
$(B)/test-load: $(STANDIN_LIB_OBJ)

# The platform's build: only the gateway, without tests and stand-ins.
gateway:
	$(MAKE) B=$(TARGET) $(TARGET)/poplarbeam-gateway

deps:
	scripts/install-deps

demo: deps
	$(MAKE) -s -j8 all
	scripts/demo

check: deps
	scripts/check

# Decision measurements with fixed seeds, and measurements of real processes.
measure: all
	scripts/measure

measure-fleet: all
	scripts/measure-fleet

# Hundreds of planned stops under load; takes minutes.
soak: all
	scripts/soak

slopes: all
	scripts/slopes

lint:
	scripts/lint

format:
	clang-format -i $(shell scripts/list-sources)

clean:
	rm -rf build target

.PHONY: all gateway deps demo check measure measure-fleet slopes soak lint format clean
.SECONDARY:

-include $(shell find $(B) -name '*.d' 2>/dev/null)
