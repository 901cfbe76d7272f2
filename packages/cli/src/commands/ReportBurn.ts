import {writeFile} from 'node:fs/promises';
import {Flags} from '@oclif/core';
import type {BurnReportResponse} from '@toucanrouter/common';
import {renderBurnPage, renderBurnTable} from '@toucanrouter/report';
import {AdminCommand} from '../AdminCommand.js';
import {exitCodes} from '../ExitCodes.js';
import {ToolError} from '../ToolError.js';

/** Reports error budgets and burn rates. */
export class ReportBurn extends AdminCommand {
  static override summary = 'Report error budget and burn rate by class.';
  static override description =
    'A burn rate of 1x uses up the budget exactly within its period. Alarms: "page" when both windows burn at 6x or more, "ticket" at 2x or more.';
  static override examples = [
    '<%= config.bin %> report burn',
    '<%= config.bin %> report burn --html burn.html',
  ];
  static override flags = {
    html: Flags.string({
      description: 'also write an HTML page with plots to this file',
      helpValue: 'FILE',
    }),
  };

  async run(): Promise<BurnReportResponse> {
    const {flags} = await this.parse(ReportBurn);
    const response = await (await this.createClient(flags)).burnReport();
    const {report, unanswered} = response;
    this.log(renderBurnTable(report, unanswered).trimEnd());
    if (flags.html !== undefined) {
      await writePage(flags.html, renderBurnPage(report, unanswered));
      this.logProgress(`wrote ${flags.html}`);
    }
    return response;
  }
}

async function writePage(file: string, page: string): Promise<void> {
  try {
    await writeFile(file, page);
  } catch (cause) {
    throw new ToolError(exitCodes.usage, `"${file}" cannot be written`, {
      cause,
      next: 'pass another file with --html',
    });
  }
}
