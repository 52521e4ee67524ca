# Lists the recipes.
default:
    just --list

# What has to pass before a push.
ci:
    bash .ci/run

# One data centre on loopback whose owner is killed half-way.
demo:
    cargo run --release --example demo

# The fault matrix, with its closing lines.
matrix:
    cargo test --release --test fault_matrix -- --nocapture

# Figures of the decisions beside the naive version; `just bench-decisions jadran.day` runs one mix.
bench-decisions only="":
    cargo bench --bench decisions -- {{only}} --detail

# Figures of one daemon.
bench-path:
    cargo bench --bench path

# Figures of many daemons under failures: failover, leaving, rolling, control, patches.
bench-recovery only="":
    cargo bench --bench recovery -- {{only}}

# Loads in virtual time under three rules of order; `just bench-replay burst` replays some.
bench-replay only="":
    cargo bench --bench replay -- {{only}}

# What a decision costs beside a full queue, by the size of the fleet.
bench-passes only="":
    cargo bench --bench passes -- {{only}}

# Failover on an operators' platform; `just bench-failover herd` kills all daemons only.
bench-failover only="":
    cargo bench --bench failover -- {{only}}

# Reading 7,300 workers' entries, a tenth of them bad, beside a clean list.
bench-entries:
    cargo bench --bench entries

# Drawn entries of other writers, on the decoder and on fleets; `just fuzz-entries 20000 7`.
fuzz-entries cases="20000" seed="1":
    FOREIGN_CASES={{cases}} FOREIGN_SEED={{seed}} cargo test --release --test foreign_entries drawn

# Real daemons under drawn faults; `just soak 1-50`.
soak seeds="1-8":
    SOAK_SEEDS={{seeds}} cargo test --release --test soak -- --nocapture

# A day of deploy/days over seeds, on a site of the bench that FLEETBENCH names.
day file site first="1" last="8":
    for seed in $(seq {{first}} {{last}}); do "$FLEETBENCH" run {{site}} {{file}} --vary --seed "$seed" --why "a day of our own"; done

# How long jobs take from stage to stage, by the logs of a played day; `just stages day.txt 28 32`.
stages log from="-1000" until="100000":
    cargo run --release --example stages -- {{log}} {{from}} {{until}}

# The plots in docs/, from the printed figures.
plots:
    cargo bench --bench decisions | cargo run --release --example plots

# Formats everything.
fmt:
    cargo fmt
