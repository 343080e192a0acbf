"""Developer tools: the demo, the benchmarks and the deployment that they run.

The router itself never starts a process; these tools do, and they terminate every
process that they started.
"""
