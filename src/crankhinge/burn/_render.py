"""Renders the burn report as text and as a self-contained HTML page."""

from __future__ import annotations

import base64
import html
import io

from crankhinge.burn._budget import BurnReport, ErrorBudget

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body {{ font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #222; }}
table {{ border-collapse: collapse; width: 100%; margin: 1rem 0; }}
th, td {{ text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #ddd; }}
td.number {{ text-align: right; font-variant-numeric: tabular-nums; }}
tr.over td {{ background: #fdecea; }}
img {{ max-width: 100%; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>{intro}</p>
<img alt="Requests in time and not, per second" src="data:image/png;base64,{series}">
<h2>Error budgets</h2>
<table><tr><th>member</th><th>model</th><th>target</th><th>objective</th><th>requests</th>
<th>missed</th><th>budget left</th><th>burn rates</th></tr>
{rows}
</table>
<img alt="Budget left by member and target" src="data:image/png;base64,{budgets}">
<h2>Refusals and failures by cause</h2>
<table><tr><th>cause</th><th>requests</th></tr>
{causes}
</table>
</body></html>
"""


def render_summary(report: BurnReport) -> str:
    """Return the first paragraph of the report."""
    prefilled = report.read_tokens
    waste = report.wasted_tokens / prefilled if prefilled else 0.0
    in_time_fraction = report.in_time / report.requests if report.requests else 0.0
    return (
        f"{report.requests} requests in {report.seconds:.1f} s, objectives of bundle "
        f"{report.bundle}. In time: {report.in_time} ({in_time_fraction:.1%}), goodput "
        f"{report.goodput:.1f} a second. Wasted prefill: {report.wasted_tokens} of {prefilled} "
        f"tokens ({waste:.2%})."
    )


def _format_burn_rates(budget: ErrorBudget) -> str:
    return ", ".join(f"{window.name} {window.burn:.1f}" for window in budget.windows)


def render_text(report: BurnReport) -> str:
    """Return the report as plain text."""
    lines = [render_summary(report), ""]
    head = f"{'member':<18}{'model':<8}{'target':<16}{'obj.':>6}{'reqs':>7}{'missed':>8}{'left':>8}"
    lines += [head + "  burn rates", "-" * (len(head) + 12)]
    for b in report.budgets:
        lines.append(
            f"{b.member:<18}{b.model:<8}{b.target:<16}{b.objective:>6.0%}{b.requests:>7}"
            f"{b.bad:>8}{b.left:>8.0%}  {_format_burn_rates(b)}"
        )
    lines += ["", "refusals and failures by cause"]
    lines += [f"  {cause:<24}{count:>7}" for cause, count in report.causes.items()] or ["  none"]
    return "\n".join(lines)


def render_html(report: BurnReport) -> str:
    """Return the report as an HTML page with embedded plots that needs no other files."""
    rows = "\n".join(_render_row(budget) for budget in report.budgets)
    causes = "\n".join(
        f'<tr><td>{html.escape(cause)}</td><td class="number">{count}</td></tr>'
        for cause, count in report.causes.items()
    )
    return PAGE_TEMPLATE.format(
        intro=html.escape(render_summary(report)),
        rows=rows,
        causes=causes or "<tr><td>none</td><td></td></tr>",
        series=_plot_series(report),
        budgets=_plot_budgets(report),
    )


def _render_row(budget: ErrorBudget) -> str:
    over = ' class="over"' if budget.left < 0 else ""
    texts = [budget.member, budget.model, budget.target]
    numbers = [
        f"{budget.objective:.0%}",
        f"{budget.requests}",
        f"{budget.bad}",
        f"{budget.left:.0%}",
    ]
    cells = "".join(f"<td>{html.escape(text)}</td>" for text in texts)
    cells += "".join(f'<td class="number">{text}</td>' for text in numbers)
    return f"<tr{over}>{cells}<td>{html.escape(_format_burn_rates(budget))}</td></tr>"


def _render_png(draw: object) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 3.2), layout="constrained")
    draw(figure.subplots())  # type: ignore[operator]
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    return base64.b64encode(out.getvalue()).decode()


def _plot_series(report: BurnReport) -> str:
    def draw(axes: object) -> None:
        seconds = range(len(report.series))
        in_time = [ok for ok, _ in report.series]
        missed = [bad for _, bad in report.series]
        axes.bar(seconds, in_time, width=1.0, align="edge", color="#2a7f62", label="in time")  # type: ignore[attr-defined]
        axes.bar(  # type: ignore[attr-defined]
            seconds,
            missed,
            width=1.0,
            align="edge",
            bottom=in_time,
            color="#c8553d",
            label="late, refused, failed",
        )
        axes.set_xlabel("seconds")  # type: ignore[attr-defined]
        axes.set_ylabel("requests a second")  # type: ignore[attr-defined]
        axes.legend(frameon=False)  # type: ignore[attr-defined]

    return _render_png(draw)


def _plot_budgets(report: BurnReport) -> str:
    def draw(axes: object) -> None:
        names = [f"{b.member}, {b.target}" for b in report.budgets]
        left = [max(-1.0, b.left) * 100 for b in report.budgets]
        colours = ["#2a7f62" if value >= 0 else "#c8553d" for value in left]
        axes.barh(names, left, color=colours)  # type: ignore[attr-defined]
        axes.set_xlabel("error budget left, % (cut off at -100)")  # type: ignore[attr-defined]
        axes.invert_yaxis()  # type: ignore[attr-defined]

    return _render_png(draw)
