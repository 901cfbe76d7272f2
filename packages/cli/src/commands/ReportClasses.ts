import type {BurnReportResponse} from '@toucanrouter/common';
import {renderClassesTable} from '@toucanrouter/report';
import {AdminCommand} from '../AdminCommand.js';

/** Reports the latencies of classes and their targets. */
export class ReportClasses extends AdminCommand {
  static override summary = 'Report target and latencies of each class.';
  static override examples = ['<%= config.bin %> report classes'];

  async run(): Promise<BurnReportResponse> {
    const {flags} = await this.parse(ReportClasses);
    const response = await (await this.createClient(flags)).burnReport();
    const {report, unanswered} = response;
    this.log(renderClassesTable(report, unanswered).trimEnd());
    return response;
  }
}
